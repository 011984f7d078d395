#include "order_spread.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "order_messages.h"

namespace lycheestep {

namespace {

// Hosts that carry at the same time: few, so that each message has many
// orders, and enough that several may be lost.
constexpr std::size_t kMostCarriers = 8;

// A carrier that was not heard of for this long is lost. Carriers answer each
// heartbeat of the leader.
constexpr Duration kSilence = std::chrono::milliseconds(900);

// Between looks for silent carriers.
constexpr Duration kLookPeriod = std::chrono::milliseconds(50);

// An order of which nothing was heard for this long was lost on the way.
constexpr Duration kLostOrder = std::chrono::seconds(5);

// A longer gap between two calls of Tick says that this host stood still, and
// nothing about the others.
constexpr Duration kOwnPause = std::chrono::milliseconds(400);

// How much worse a carrier in another data centre is.
constexpr double kFarFactor = 3;

// A target moves when that makes its carrier's load smaller than this part.
constexpr double kWorthMoving = 0.6;
constexpr Duration kEvenOutPeriod = std::chrono::seconds(1);
constexpr int kMovesPerPeriod = 16;

} // namespace

OrderSpread::OrderSpread(Send aSend,
                         TargetAnswers aAnswers,
                         std::uint64_t aFirstId)
  : m_send(std::move(aSend))
  , m_answers(std::move(aAnswers))
  , m_lastId(aFirstId)
{
}

void OrderSpread::SetHosts(const std::vector<CarrierHost>& aHosts)
{
  std::map<std::string, Carrier> carriers;
  for (const CarrierHost& host : aHosts) {
    const auto known = m_carriers.find(host.m_name);
    Carrier& carrier = carriers[host.m_name];
    if (known != m_carriers.end()) {
      carrier = std::move(known->second);
    }
    carrier.m_host = host;
  }
  m_carriers = std::move(carriers);
  GiveUp([this](const Pending& aPending) {
    return m_carriers.count(aPending.m_carrier) == 0;
  });
}

void OrderSpread::OnHeard(const std::string& aHost,
                          Duration aClock,
                          TimePoint aNow)
{
  const auto found = m_carriers.find(aHost);
  if (found != m_carriers.end()) {
    Carrier& carrier = found->second;
    carrier.m_clockKnown = true;
    carrier.m_clock = aClock;
    carrier.m_clockHeardAt = aNow;
    carrier.m_heardAt = aNow;
  }
}

std::size_t OrderSpread::Carriers(TimePoint aNow) const
{
  return Candidates(aNow).size();
}

bool OrderSpread::Assign(const TargetId& aTarget,
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
  Move(assignment, Choose(aDataCentre, aNow));
  return !assignment.m_carrier.empty();
}

void OrderSpread::Start(const StartOrder& aOrder)
{
  if (proto::CarriedOrder* message = Add(aOrder.m_to.m_target)) {
    EncodeStart(aOrder, *message);
    StartOrder kept = aOrder;
    kept.m_payload.clear(); // of no use for the answer
    Expect(*message, aOrder.m_to.m_target, std::move(kept));
  }
}

void OrderSpread::Stop(const StopOrder& aOrder)
{
  if (proto::CarriedOrder* message = Add(aOrder.m_to.m_target)) {
    EncodeStop(aOrder, *message);
    Expect(*message, aOrder.m_to.m_target, aOrder);
  }
}

void OrderSpread::Pace(const PaceOrder& aOrder)
{
  if (proto::CarriedOrder* message = Add(aOrder.m_to.m_target)) {
    EncodePace(aOrder, *message);
  }
}

void OrderSpread::Hold(const HoldOrder& aOrder, HoldPath aPath)
{
  if (proto::CarriedOrder* message = Add(aOrder.m_to.m_target)) {
    EncodeHold(aOrder, aPath, *message);
    Expect(*message, aOrder.m_to.m_target, WatchedHold{ aOrder, aPath });
  }
}

void OrderSpread::Forget(const TargetId& aTarget)
{
  const auto found = m_assigned.find(aTarget);
  if (found != m_assigned.end()) {
    Move(found->second, "");
    m_assigned.erase(found);
  }
}

void OrderSpread::OnAnswers(const std::string& aHost,
                            const proto::CarriedAnswers& aAnswers,
                            TimePoint aNow)
{
  m_now = aNow;
  const auto carrier = m_carriers.find(aHost);
  if (carrier != m_carriers.end()) {
    carrier->second.m_heardAt = aNow;
  }
  for (const proto::CarriedAnswer& answer : aAnswers.answer()) {
    const auto found = m_pending.find(answer.id());
    if (found != m_pending.end()) {
      const Pending pending = std::move(found->second);
      m_pending.erase(found);
      Answer(pending, answer);
    }
  }
}

void OrderSpread::Tick(TimePoint aNow)
{
  if (aNow - m_now > kOwnPause) {
    for (auto& [name, carrier] : m_carriers) {
      carrier.m_heardAt = std::max(carrier.m_heardAt, aNow);
    }
  }
  m_now = aNow;
  if (aNow - m_lookedAt >= kLookPeriod) {
    m_lookedAt = aNow;
    GiveUp([&](const Pending& aPending) {
      const auto carrier = m_carriers.find(aPending.m_carrier);
      return carrier == m_carriers.end() || !IsUsable(carrier->second, aNow) ||
             aNow - aPending.m_since > kLostOrder;
    });
  }
  if (aNow - m_evenedAt >= kEvenOutPeriod) {
    m_evenedAt = aNow;
    EvenOut(aNow);
  }
}

void OrderSpread::Flush(TimePoint aValidUntil)
{
  for (auto& [name, carrier] : m_carriers) {
    if (carrier.m_batch.order_size() == 0) {
      continue;
    }
    // The clock was read before it was heard of, so this errs on the early
    // side.
    const Duration notAfter =
      carrier.m_clock + (aValidUntil - carrier.m_clockHeardAt);
    proto::CarriedOrders batch;
    batch.Swap(&carrier.m_batch);
    batch.set_not_after_ms(ToMilliseconds(notAfter));
    m_send(name, std::move(batch));
  }
}

bool OrderSpread::IsUsable(const Carrier& aCarrier, TimePoint aNow)
{
  return aCarrier.m_clockKnown && aNow - aCarrier.m_heardAt <= kSilence;
}

double OrderSpread::LoadOf(const Carrier& aCarrier,
                           const DataCentreName& aDataCentre)
{
  const bool near = aCarrier.m_host.m_dataCentre == aDataCentre;
  return static_cast<double>(aCarrier.m_targets + 1) /
         aCarrier.m_host.m_processorShare * (near ? 1 : kFarFactor);
}

std::vector<std::string> OrderSpread::Candidates(TimePoint aNow) const
{
  std::vector<std::pair<double, std::string>> ranked;
  for (const auto& [name, carrier] : m_carriers) {
    if (IsUsable(carrier, aNow)) {
      ranked.emplace_back(-carrier.m_host.m_processorShare, name);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kMostCarriers));
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (const auto& [share, name] : ranked) {
    names.push_back(name);
  }
  return names;
}

std::string OrderSpread::Choose(const DataCentreName& aDataCentre,
                                TimePoint aNow) const
{
  std::string best;
  double bestLoad = 0;
  for (const std::string& name : Candidates(aNow)) {
    const double load = LoadOf(m_carriers.at(name), aDataCentre);
    if (best.empty() || load < bestLoad) {
      best = name;
      bestLoad = load;
    }
  }
  return best;
}

void OrderSpread::Move(Assignment& aAssignment, const std::string& aCarrier)
{
  const auto from = m_carriers.find(aAssignment.m_carrier);
  if (from != m_carriers.end()) {
    --from->second.m_targets;
  }
  aAssignment.m_carrier = aCarrier;
  const auto to = m_carriers.find(aCarrier);
  if (to != m_carriers.end()) {
    ++to->second.m_targets;
  }
}

proto::CarriedOrder* OrderSpread::Add(const TargetId& aTarget)
{
  const auto assignment = m_assigned.find(aTarget);
  if (assignment == m_assigned.end()) {
    return nullptr;
  }
  const auto carrier = m_carriers.find(assignment->second.m_carrier);
  if (carrier == m_carriers.end()) {
    return nullptr;
  }
  proto::CarriedOrder* message = carrier->second.m_batch.add_order();
  message->set_id(++m_lastId);
  return message;
}

void OrderSpread::Expect(
  const proto::CarriedOrder& aMessage,
  const TargetId& aTarget,
  std::variant<StartOrder, StopOrder, WatchedHold> aOrder)
{
  m_pending[aMessage.id()] =
    Pending{ m_assigned.at(aTarget).m_carrier, m_now, std::move(aOrder) };
}

void OrderSpread::Answer(const Pending& aPending,
                         const proto::CarriedAnswer& aAnswer)
{
  if (const auto* start = std::get_if<StartOrder>(&aPending.m_order)) {
    m_answers.m_started(*start, DecodeOrderAnswer(aAnswer));
  } else if (const auto* stop = std::get_if<StopOrder>(&aPending.m_order)) {
    m_answers.m_stopped(*stop, DecodeOrderAnswer(aAnswer));
  } else if (const auto* hold = std::get_if<WatchedHold>(&aPending.m_order)) {
    m_answers.m_held(hold->m_order, hold->m_path, DecodeHoldAnswer(aAnswer));
  }
}

void OrderSpread::GiveUp(const std::function<bool(const Pending&)>& aLost)
{
  std::vector<Pending> lost;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    if (aLost(it->second)) {
      lost.push_back(std::move(it->second));
      it = m_pending.erase(it);
    } else {
      ++it;
    }
  }
  proto::CarriedAnswer unknown;
  unknown.set_status(static_cast<std::uint32_t>(OrderStatus::kUnknown));
  for (const Pending& pending : lost) {
    Answer(pending, unknown);
  }
}

// Orders of a target that moves may overtake each other, as those on its two
// connections always may; the fencing token settles what becomes uncertain.
void OrderSpread::EvenOut(TimePoint aNow)
{
  int moves = 0;
  for (auto& [target, assignment] : m_assigned) {
    const auto from = m_carriers.find(assignment.m_carrier);
    if (from == m_carriers.end() || moves >= kMovesPerPeriod) {
      continue;
    }
    --from->second.m_targets;
    const double load = LoadOf(from->second, assignment.m_dataCentre);
    ++from->second.m_targets;
    const std::string better = Choose(assignment.m_dataCentre, aNow);
    const bool worthIt = !better.empty() && better != assignment.m_carrier &&
                         LoadOf(m_carriers.at(better),
                                assignment.m_dataCentre) < load * kWorthMoving;
    if (worthIt) {
      Move(assignment, better);
      ++moves;
    }
  }
}

} // namespace lycheestep
