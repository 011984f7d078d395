#include "order_dispatcher.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "order_messages.h"

namespace lycheestep {

namespace {

// The maximum number of hosts that carry orders at the same time. The number is
// small, so that each message contains many orders, but enough that the loss of
// several is tolerated.
constexpr std::size_t kMaxCarriers = 8;

// A carrier that has sent no message for this long counts as lost. Carriers
// reply to each heartbeat of the leader.
constexpr Duration kCarrierTimeout = std::chrono::milliseconds(900);

// A host that carries nothing replies to every second heartbeat, so that one
// lost reply is no reason to let it send no stop.
constexpr Duration kOtherHostTimeout = std::chrono::milliseconds(1300);

// Time between checks for silent carriers.
constexpr Duration kSilenceCheckPeriod = std::chrono::milliseconds(50);

// An order that has no reply after this time counts as lost in transit.
constexpr Duration kAnswerTimeout = std::chrono::seconds(5);

// If this dispatcher was not called for longer than this, this host was paused
// itself, so the silence of the carriers does not mean that they are lost.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(400);

// The load of a carrier is multiplied by this factor if the target is in
// another data centre.
constexpr double kRemoteLoadFactor = 3;

// A target moves if its load at the new carrier is less than this fraction of
// its load at the present one.
constexpr double kRebalanceThreshold = 0.6;
constexpr Duration kRebalancePeriod = std::chrono::seconds(1);
constexpr int kMaxMovesPerPeriod = 16;

} // namespace

OrderDispatcher::OrderDispatcher(Send aSend,
                                 OrderAnswerHandlers aAnswers,
                                 std::uint64_t aLastId)
  : m_send(std::move(aSend))
  , m_answers(std::move(aAnswers))
  , m_lastId(aLastId)
{
}

void OrderDispatcher::SetHosts(const std::vector<CarrierHost>& aHosts)
{
  std::map<std::string, Carrier> carriers;
  for (const CarrierHost& host : aHosts) {
    const auto previous = m_carriers.find(host.m_name);
    Carrier& carrier = carriers[host.m_name];
    if (previous != m_carriers.end()) {
      carrier = std::move(previous->second);
    }
    carrier.m_host = host;
  }
  m_carriers = std::move(carriers);
  FailPending([this](const Pending& aPending) {
    return m_carriers.count(aPending.m_carrier) == 0;
  });
}

void OrderDispatcher::OnCarrierAlive(const std::string& aHost,
                                     Duration aClock,
                                     bool aCanCarry,
                                     TimePoint aNow)
{
  const auto found = m_carriers.find(aHost);
  if (found != m_carriers.end()) {
    Carrier& carrier = found->second;
    carrier.m_clockKnown = aCanCarry;
    carrier.m_clock = aClock;
    carrier.m_clockReceivedAt = aNow;
    carrier.m_lastMessageAt = aNow;
  }
}

std::size_t OrderDispatcher::CountUsableCarriers(TimePoint aNow) const
{
  return FindCandidates(kCarrierTimeout, aNow).size();
}

bool OrderDispatcher::Assign(const TargetId& aTarget,
                             const DataCentreName& aDataCentre,
                             TimePoint aNow)
{
  m_now = aNow;
  Assignment& assignment = m_assigned[aTarget];
  assignment.m_dataCentre = aDataCentre;
  const auto carrier = m_carriers.find(assignment.m_carrier);
  if (carrier != m_carriers.end() && IsUsable(carrier->second, aNow)) {
    return true;
  }
  Reassign(assignment, ChooseCarrier(aDataCentre, aNow));
  return !assignment.m_carrier.empty();
}

void OrderDispatcher::Start(const StartOrder& aOrder)
{
  const std::string carrier = CarrierOf(aOrder.m_to.m_target);
  if (proto::CarriedOrder* message = AddToBatch(carrier)) {
    EncodeStart(aOrder, *message);
    StartOrder kept = aOrder;
    kept.m_payload.clear(); // not needed to handle the answer
    AddPending(*message, carrier, std::move(kept));
  }
}

void OrderDispatcher::Stop(const StopOrder& aOrder)
{
  StopBy(CarrierOf(aOrder.m_to.m_target), aOrder);
}

void OrderDispatcher::StopBy(const std::string& aCarrier,
                             const StopOrder& aOrder)
{
  if (proto::CarriedOrder* message = AddToBatch(aCarrier)) {
    EncodeStop(aOrder, *message);
    AddPending(*message, aCarrier, aOrder);
  }
}

std::string OrderDispatcher::StopByAnotherHost(
  const StopOrder& aOrder,
  const DataCentreName& aDataCentre,
  TimePoint aNow)
{
  m_now = aNow;
  const std::vector<std::string> hosts =
    OtherHosts(aOrder.m_to.m_target, aDataCentre, aNow);
  if (hosts.empty()) {
    return "";
  }
  const std::string& host = hosts[aOrder.m_earlierTries % hosts.size()];
  StopBy(host, aOrder);
  return host;
}

void OrderDispatcher::Pace(const PaceOrder& aOrder)
{
  if (proto::CarriedOrder* message =
        AddToBatch(CarrierOf(aOrder.m_to.m_target))) {
    EncodePace(aOrder, *message);
  }
}

void OrderDispatcher::Hold(const HoldOrder& aOrder, HoldPath aPath)
{
  const std::string carrier = CarrierOf(aOrder.m_to.m_target);
  if (proto::CarriedOrder* message = AddToBatch(carrier)) {
    EncodeHold(aOrder, aPath, *message);
    AddPending(*message, carrier, PendingHold{ aOrder, aPath });
  }
}

void OrderDispatcher::Withdraw(const WithdrawOrder& aOrder)
{
  const auto starts = m_pendingStarts.find(aOrder.m_target);
  if (starts == m_pendingStarts.end()) {
    return;
  }
  std::set<std::string> carriers;
  for (const std::uint64_t id : starts->second) {
    const Pending& pending = m_pending.at(id);
    const RunName& run = std::get<StartOrder>(pending.m_order).m_run;
    if (!aOrder.m_run || run == *aOrder.m_run) {
      carriers.insert(pending.m_carrier);
    }
  }
  for (const std::string& name : carriers) {
    AddWithdrawal(name, aOrder);
  }
}

void OrderDispatcher::AddWithdrawal(const std::string& aCarrier,
                                    const WithdrawOrder& aOrder)
{
  const auto carrier = m_carriers.find(aCarrier);
  if (carrier != m_carriers.end()) {
    EncodeWithdrawal(aOrder, *carrier->second.m_batch.add_order());
  }
}

void OrderDispatcher::Forget(const TargetId& aTarget)
{
  Withdraw(WithdrawOrder{ aTarget, std::nullopt });
  const auto found = m_assigned.find(aTarget);
  if (found != m_assigned.end()) {
    Reassign(found->second, "");
    m_assigned.erase(found);
  }
}

void OrderDispatcher::OnAnswers(const std::string& aHost,
                                const proto::CarriedAnswers& aAnswers,
                                TimePoint aNow)
{
  m_now = aNow;
  const auto carrier = m_carriers.find(aHost);
  if (carrier != m_carriers.end()) {
    carrier->second.m_lastMessageAt = aNow;
  }
  for (const proto::CarriedAnswer& answer : aAnswers.answer()) {
    const auto found = m_pending.find(answer.id());
    if (found != m_pending.end()) {
      DeliverAnswer(TakePending(found), answer);
    }
  }
}

void OrderDispatcher::Tick(TimePoint aNow)
{
  if (aNow - m_now > kMaxTickGap) {
    for (auto& [name, carrier] : m_carriers) {
      carrier.m_lastMessageAt = std::max(carrier.m_lastMessageAt, aNow);
    }
  }
  m_now = aNow;
  if (aNow - m_checkedAt >= kSilenceCheckPeriod) {
    m_checkedAt = aNow;
    FailPending([&](const Pending& aPending) {
      const auto carrier = m_carriers.find(aPending.m_carrier);
      return carrier == m_carriers.end() || !IsUsable(carrier->second, aNow) ||
             aNow - aPending.m_since > kAnswerTimeout;
    });
  }
  if (aNow - m_rebalancedAt >= kRebalancePeriod) {
    m_rebalancedAt = aNow;
    Rebalance(aNow);
  }
}

Duration OrderDispatcher::ByClockOf(const Carrier& aCarrier, TimePoint aTime)
{
  // The carrier read its clock before this host received the reading, so the
  // result is never too late.
  return aCarrier.m_clock + (aTime - aCarrier.m_clockReceivedAt);
}

void OrderDispatcher::Flush(TimePoint aValidUntil, TimePoint aStartsValidUntil)
{
  for (auto& [name, carrier] : m_carriers) {
    if (carrier.m_batch.order_size() == 0) {
      continue;
    }
    proto::CarriedOrders batch;
    batch.Swap(&carrier.m_batch);
    batch.set_not_after_ms(ToMilliseconds(ByClockOf(carrier, aValidUntil)));
    batch.set_starts_not_after_ms(
      ToMilliseconds(ByClockOf(carrier, aStartsValidUntil)));
    m_send(name, std::move(batch));
  }
}

bool OrderDispatcher::IsUsable(const Carrier& aCarrier, TimePoint aNow)
{
  return IsHeard(aCarrier, kCarrierTimeout, aNow);
}

bool OrderDispatcher::IsHeard(const Carrier& aCarrier,
                              Duration aMaxSilence,
                              TimePoint aNow)
{
  return aCarrier.m_clockKnown &&
         aNow - aCarrier.m_lastMessageAt <= aMaxSilence;
}

double OrderDispatcher::LoadWithOneMore(const Carrier& aCarrier,
                                        const DataCentreName& aDataCentre)
{
  const bool near = aCarrier.m_host.m_dataCentre == aDataCentre;
  return static_cast<double>(aCarrier.m_targetCount + 1) /
         aCarrier.m_host.m_processorShare * (near ? 1 : kRemoteLoadFactor);
}

std::vector<std::string> OrderDispatcher::FindCandidates(Duration aMaxSilence,
                                                         TimePoint aNow) const
{
  std::vector<std::pair<double, std::string>> ranked;
  for (const auto& [name, carrier] : m_carriers) {
    if (IsHeard(carrier, aMaxSilence, aNow)) {
      ranked.emplace_back(-carrier.m_host.m_processorShare, name);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kMaxCarriers));
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (const auto& [share, name] : ranked) {
    names.push_back(name);
  }
  return names;
}

std::string OrderDispatcher::ChooseCarrier(const DataCentreName& aDataCentre,
                                           TimePoint aNow) const
{
  std::string best;
  double bestLoad = 0;
  for (const std::string& name : FindCandidates(kCarrierTimeout, aNow)) {
    const double load = LoadWithOneMore(m_carriers.at(name), aDataCentre);
    if (best.empty() || load < bestLoad) {
      best = name;
      bestLoad = load;
    }
  }
  return best;
}

void OrderDispatcher::Reassign(Assignment& aAssignment,
                               const std::string& aCarrier)
{
  const auto from = m_carriers.find(aAssignment.m_carrier);
  if (from != m_carriers.end()) {
    --from->second.m_targetCount;
  }
  aAssignment.m_carrier = aCarrier;
  const auto to = m_carriers.find(aCarrier);
  if (to != m_carriers.end()) {
    ++to->second.m_targetCount;
  }
}

std::string OrderDispatcher::CarrierOf(const TargetId& aTarget) const
{
  const auto assignment = m_assigned.find(aTarget);
  return assignment != m_assigned.end() ? assignment->second.m_carrier
                                        : std::string();
}

std::vector<std::string> OrderDispatcher::OtherHosts(
  const TargetId& aTarget,
  const DataCentreName& aDataCentre,
  TimePoint aNow) const
{
  std::vector<std::string> hosts = FindCandidates(kOtherHostTimeout, aNow);
  const std::string carrier = CarrierOf(aTarget);
  hosts.erase(std::remove(hosts.begin(), hosts.end(), carrier), hosts.end());
  std::stable_partition(
    hosts.begin(), hosts.end(), [&](const std::string& aHost) {
      return m_carriers.at(aHost).m_host.m_dataCentre == aDataCentre;
    });
  return hosts;
}

proto::CarriedOrder* OrderDispatcher::AddToBatch(const std::string& aCarrier)
{
  const auto carrier = m_carriers.find(aCarrier);
  if (carrier == m_carriers.end()) {
    return nullptr;
  }
  proto::CarriedOrder* message = carrier->second.m_batch.add_order();
  message->set_id(++m_lastId);
  return message;
}

void OrderDispatcher::AddPending(
  const proto::CarriedOrder& aMessage,
  const std::string& aCarrier,
  std::variant<StartOrder, StopOrder, PendingHold> aOrder)
{
  if (const auto* start = std::get_if<StartOrder>(&aOrder)) {
    m_pendingStarts[start->m_to.m_target].insert(aMessage.id());
  }
  m_pending[aMessage.id()] = Pending{ aCarrier, m_now, std::move(aOrder) };
}

OrderDispatcher::Pending OrderDispatcher::TakePending(
  std::map<std::uint64_t, Pending>::iterator aPending)
{
  if (const auto* start = std::get_if<StartOrder>(&aPending->second.m_order)) {
    const auto starts = m_pendingStarts.find(start->m_to.m_target);
    starts->second.erase(aPending->first);
    if (starts->second.empty()) {
      m_pendingStarts.erase(starts);
    }
  }
  Pending pending = std::move(aPending->second);
  m_pending.erase(aPending);
  return pending;
}

void OrderDispatcher::DeliverAnswer(const Pending& aPending,
                                    const proto::CarriedAnswer& aAnswer)
{
  if (const auto* start = std::get_if<StartOrder>(&aPending.m_order)) {
    m_answers.m_started(*start, DecodeOrderAnswer(aAnswer));
  } else if (const auto* stop = std::get_if<StopOrder>(&aPending.m_order)) {
    m_answers.m_stopped(*stop, DecodeOrderAnswer(aAnswer));
  } else if (const auto* hold = std::get_if<PendingHold>(&aPending.m_order)) {
    m_answers.m_held(hold->m_order, hold->m_path, DecodeHoldAnswer(aAnswer));
  }
}

void OrderDispatcher::FailPending(
  const std::function<bool(const Pending&)>& aIsLost)
{
  std::vector<Pending> lost;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    const auto pending = it++;
    if (aIsLost(pending->second)) {
      lost.push_back(TakePending(pending));
    }
  }
  proto::CarriedAnswer unknown;
  unknown.set_status(static_cast<std::uint32_t>(OrderStatus::kUnknown));
  for (const Pending& pending : lost) {
    if (const auto* start = std::get_if<StartOrder>(&pending.m_order)) {
      // The carrier may be alive and still send the start.
      AddWithdrawal(pending.m_carrier,
                    WithdrawOrder{ start->m_to.m_target, start->m_run });
    }
    DeliverAnswer(pending, unknown);
  }
}

// Orders to a target that moves may overtake each other, as orders on the
// target's two connections always may. The target's fencing token resolves
// the resulting uncertainty.
void OrderDispatcher::Rebalance(TimePoint aNow)
{
  int moves = 0;
  for (auto& [target, assignment] : m_assigned) {
    const auto from = m_carriers.find(assignment.m_carrier);
    if (from == m_carriers.end() || moves >= kMaxMovesPerPeriod) {
      continue;
    }
    --from->second.m_targetCount;
    const double load = LoadWithOneMore(from->second, assignment.m_dataCentre);
    ++from->second.m_targetCount;
    const std::string better = ChooseCarrier(assignment.m_dataCentre, aNow);
    const bool shouldMove =
      !better.empty() && better != assignment.m_carrier &&
      LoadWithOneMore(m_carriers.at(better), assignment.m_dataCentre) <
        load * kRebalanceThreshold;
    if (shouldMove) {
      Reassign(assignment, better);
      ++moves;
    }
  }
}

} // namespace lycheestep
