#ifndef LYCHEESTEP_ORDER_DISPATCHER_H
#define LYCHEESTEP_ORDER_DISPATCHER_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "jobs.pb.h"
#include "lycheestep/target_record.h"
#include "order_sender.h"

namespace lycheestep {

// Another host that may carry orders to targets.
struct CarrierHost
{
  std::string m_name;
  DataCentreName m_dataCentre;
  double m_processorShare = 0;
};

// The leader's side of carried orders: gives each target to one of the larger
// hosts, near it if there is one, and sends that host the target's orders,
// all that come in one turn of the control thread in one message. Answers the
// load of a fleet that one small host can't serve: a carried order costs the
// leader about a tenth of one that it sends itself.
//
// What a carrier that fell silent had under way counts as without answer. No
// order is sent after the leader's right to order, however long its message
// is on the way, as that time is told by the carrier's own clock. Used by the
// control thread only; reads no clock.
class OrderDispatcher : public OrderSender
{
public:
  // Sends orders to a host.
  using Send =
    std::function<void(const std::string& aHost, proto::CarriedOrders aOrders)>;

  // Ids of orders begin after aFirstId.
  OrderDispatcher(Send aSend,
                  OrderAnswerHandlers aAnswers,
                  std::uint64_t aFirstId);

  // The other hosts of the system; those that are missing carry no more.
  void SetHosts(const std::vector<CarrierHost>& aHosts);

  // A host lives, and its clock showed aClock when it said so.
  void OnCarrierAlive(const std::string& aHost,
                      Duration aClock,
                      TimePoint aNow);

  // Hosts that can carry just now.
  std::size_t CountUsableCarriers(TimePoint aNow) const;

  // Sees to it that a host carries the target's orders. False when none can.
  bool Assign(const TargetId& aTarget,
              const DataCentreName& aDataCentre,
              TimePoint aNow);

  // Orders to assigned targets.
  void Start(const StartOrder& aOrder) override;
  void Stop(const StopOrder& aOrder) override;
  void Pace(const PaceOrder& aOrder) override;
  void Hold(const HoldOrder& aOrder, HoldPath aPath) override;

  // The target is needed no more.
  void Forget(const TargetId& aTarget);

  void OnAnswers(const std::string& aHost,
                 const proto::CarriedAnswers& aAnswers,
                 TimePoint aNow);

  // Gives up what silent hosts have under way, and evens out their loads.
  void Tick(TimePoint aNow);

  // Sends what has come since the last call. The leader may order until
  // aValidUntil.
  void Flush(TimePoint aValidUntil);

private:
  struct Carrier
  {
    CarrierHost m_host;
    // Its clock, and this host's when that was heard.
    bool m_clockKnown = false;
    Duration m_clock = Duration::zero();
    TimePoint m_clockReceivedAt;
    TimePoint m_lastMessageAt;
    std::size_t m_targetCount = 0;
    proto::CarriedOrders m_batch;
  };

  struct PendingHold
  {
    HoldOrder m_order;
    HoldPath m_path = HoldPath::kOrders;
  };

  struct Pending
  {
    std::string m_carrier;
    TimePoint m_since;
    std::variant<StartOrder, StopOrder, PendingHold> m_order;
  };

  struct Assignment
  {
    std::string m_carrier;
    DataCentreName m_dataCentre;
  };

  static bool IsUsable(const Carrier& aCarrier, TimePoint aNow);
  // Load with one more target: smaller is better.
  static double LoadWithOneMore(const Carrier& aCarrier,
                                const DataCentreName& aDataCentre);
  // The largest hosts that can carry.
  std::vector<std::string> FindCandidates(TimePoint aNow) const;
  std::string ChooseCarrier(const DataCentreName& aDataCentre,
                            TimePoint aNow) const;
  void Reassign(Assignment& aAssignment, const std::string& aCarrier);
  proto::CarriedOrder* Add(const TargetId& aTarget);
  void AddPending(const proto::CarriedOrder& aMessage,
                  const TargetId& aTarget,
                  std::variant<StartOrder, StopOrder, PendingHold> aOrder);
  void DeliverAnswer(const Pending& aPending,
                     const proto::CarriedAnswer& aAnswer);
  void FailPending(const std::function<bool(const Pending&)>& aIsLost);
  void Rebalance(TimePoint aNow);

  const Send m_send;
  const OrderAnswerHandlers m_answers;
  std::uint64_t m_lastId;
  std::map<std::string, Carrier> m_carriers;
  std::map<TargetId, Assignment> m_assigned;
  std::map<std::uint64_t, Pending> m_pending;
  TimePoint m_now;
  TimePoint m_checkedAt;
  TimePoint m_rebalancedAt;
};

} // namespace lycheestep

#endif
