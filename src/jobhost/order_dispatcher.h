#ifndef LYCHEESTEP_ORDER_DISPATCHER_H
#define LYCHEESTEP_ORDER_DISPATCHER_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jobs.pb.h"
#include "lycheestep/target_record.h"
#include "order_sender.h"

namespace lycheestep {

// Another host that can carry orders to targets.
struct CarrierHost
{
  std::string m_name;
  DataCentreName m_dataCentre;
  // Share of a processor core that the host has.
  double m_processorShare = 0;
};

// Sends the leader's orders to targets by way of carriers, which are other
// hosts that run an OrderCarrier. Each target is assigned to one of the hosts
// with the largest share of a processor core, preferably in the target's data
// centre. All orders for one carrier that are added between two calls of Flush
// go in one message. This lets a small host lead a large fleet: a carried order
// costs the leader about a tenth of an order that it sends itself.
//
// If a carrier sends no message for the carrier timeout, its orders in flight
// are reported as unknown. No order reaches a target after the leader's right
// to send orders has ended, however long the message is in transit, because the
// message states that time by the carrier's own clock. Used by the control
// thread only; reads no clock.
class OrderDispatcher : public OrderSender
{
public:
  // Sends a batch of orders to a host.
  using Send =
    std::function<void(const std::string& aHost, proto::CarriedOrders aOrders)>;

  // The ids of the orders count up from aLastId + 1.
  OrderDispatcher(Send aSend,
                  OrderAnswerHandlers aAnswers,
                  std::uint64_t aLastId);

  // Sets the other hosts of the system. The orders in flight of a host that is
  // missing from aHosts are reported as unknown.
  void SetHosts(const std::vector<CarrierHost>& aHosts);

  // Handles a HostAlive message, which was sent when the clock of aHost showed
  // aClock. aCanCarry is true if the host bounds starts as Flush says and sends
  // orders to no other process than the one that they name.
  void OnCarrierAlive(const std::string& aHost,
                      Duration aClock,
                      bool aCanCarry,
                      TimePoint aNow);

  // Returns the number of hosts that can carry orders at aNow, up to the
  // maximum number of carriers.
  std::size_t CountUsableCarriers(TimePoint aNow) const;

  // Assigns a carrier to the target if it has none that is usable. Returns
  // false if no host can carry orders.
  bool Assign(const TargetId& aTarget,
              const DataCentreName& aDataCentre,
              TimePoint aNow);

  // Add an order to the batch of the target's carrier. The caller assigns a
  // carrier first: without one, the order is dropped and never reported.
  void Start(const StartOrder& aOrder) override;
  void Stop(const StopOrder& aOrder) override;
  void Pace(const PaceOrder& aOrder) override;
  void Hold(const HoldOrder& aOrder, HoldPath aPath) override;

  // Adds a stop to the batch of a host that is not the target's carrier: with
  // each try of the run the next one, those in the target's data centre first.
  // Returns the host, or an empty name if there is none; the order is then
  // dropped and never reported.
  std::string StopByAnotherHost(const StopOrder& aOrder,
                                const DataCentreName& aDataCentre,
                                TimePoint aNow);

  // Withdraws starts from each carrier at which they may wait, also if the
  // target has been assigned to another one since.
  void Withdraw(const WithdrawOrder& aOrder);

  // Removes the target's assignment, and withdraws all starts for the target.
  void Forget(const TargetId& aTarget);

  // Handles targets' replies that a carrier sent. A reply whose id belongs to
  // no order in flight is ignored.
  void OnAnswers(const std::string& aHost,
                 const proto::CarriedAnswers& aAnswers,
                 TimePoint aNow);

  // Reports orders as unknown if they timed out or their carrier is silent, and
  // rebalances targets between carriers.
  void Tick(TimePoint aNow);

  // Sends all batches. The leader may send orders until aValidUntil, and the
  // starts of these batches until aStartsValidUntil, by this host's clock. A
  // later batch does not extend the latter, as withdrawals may be lost.
  void Flush(TimePoint aValidUntil, TimePoint aStartsValidUntil);

private:
  struct Carrier
  {
    CarrierHost m_host;
    // Set once a HostAlive message has told the clock of a host that can carry
    // orders.
    bool m_clockKnown = false;
    // The carrier's clock in its last HostAlive message, and this host's clock
    // when that message was received.
    Duration m_clock = Duration::zero();
    TimePoint m_clockReceivedAt;
    // When this host last received a HostAlive message or replies from the
    // carrier. After a pause of this host, this is the end of the pause.
    TimePoint m_lastMessageAt;
    std::size_t m_targetCount = 0;
    // Orders to send with the next Flush.
    proto::CarriedOrders m_batch;
  };

  struct PendingHold
  {
    HoldOrder m_order;
    HoldPath m_path = HoldPath::kOrders;
  };

  // An order that has no reply yet.
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

  // Returns aTime by the carrier's clock, or earlier.
  static Duration ByClockOf(const Carrier& aCarrier, TimePoint aTime);
  static bool IsUsable(const Carrier& aCarrier, TimePoint aNow);
  // Returns true if the host can carry orders and was silent for no longer than
  // aMaxSilence.
  static bool IsHeard(const Carrier& aCarrier,
                      Duration aMaxSilence,
                      TimePoint aNow);
  // Returns the carrier's load if it had one more target, which is in
  // aDataCentre. A smaller load is better.
  static double LoadWithOneMore(const Carrier& aCarrier,
                                const DataCentreName& aDataCentre);
  // Returns the hosts with the largest processor shares that IsHeard.
  std::vector<std::string> FindCandidates(Duration aMaxSilence,
                                          TimePoint aNow) const;
  // Returns the candidate with the smallest load, or an empty name if there is
  // none.
  std::string ChooseCarrier(const DataCentreName& aDataCentre,
                            TimePoint aNow) const;
  // Changes the carrier of an assignment; an empty name removes the carrier.
  void Reassign(Assignment& aAssignment, const std::string& aCarrier);
  // Adds a stop to a carrier's batch.
  void StopBy(const std::string& aCarrier, const StopOrder& aOrder);
  // Returns the target's carrier; empty if it has none.
  std::string CarrierOf(const TargetId& aTarget) const;
  // Returns the hosts that can send a stop to the target besides its carrier,
  // those in its data centre first.
  std::vector<std::string> OtherHosts(const TargetId& aTarget,
                                      const DataCentreName& aDataCentre,
                                      TimePoint aNow) const;
  // Adds an order with a new id to a carrier's batch. Returns null if there is
  // no such carrier.
  proto::CarriedOrder* AddToBatch(const std::string& aCarrier);
  // Keeps an order of a carrier's batch until its reply arrives.
  void AddPending(const proto::CarriedOrder& aMessage,
                  const std::string& aCarrier,
                  std::variant<StartOrder, StopOrder, PendingHold> aOrder);
  // Adds a withdrawal to the carrier's batch, if the carrier is still a host.
  void AddWithdrawal(const std::string& aCarrier, const WithdrawOrder& aOrder);
  // Removes an order that was answered or is lost, and returns it.
  Pending TakePending(std::map<std::uint64_t, Pending>::iterator aPending);
  void DeliverAnswer(const Pending& aPending,
                     const proto::CarriedAnswer& aAnswer);
  // Reports each pending order for which aIsLost is true as unknown, and
  // withdraws the starts among them.
  void FailPending(const std::function<bool(const Pending&)>& aIsLost);
  // Moves targets to carriers that are clearly less loaded.
  void Rebalance(TimePoint aNow);

  const Send m_send;
  const OrderAnswerHandlers m_answers;
  std::uint64_t m_lastId;
  std::map<std::string, Carrier> m_carriers;
  std::map<TargetId, Assignment> m_assigned;
  // Keyed by the order's id.
  std::map<std::uint64_t, Pending> m_pending;
  // The ids of the starts in m_pending. Targets without one have no entry.
  std::map<TargetId, std::set<std::uint64_t>> m_pendingStarts;
  // The latest time that a caller passed.
  TimePoint m_now;
  TimePoint m_checkedAt;
  TimePoint m_rebalancedAt;
};

} // namespace lycheestep

#endif
