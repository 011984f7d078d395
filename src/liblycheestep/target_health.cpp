#include "target_health.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>
#include <utility>

namespace lycheestep {

namespace {

// A median above this says that the fleet fails, not single targets.
constexpr double kFleetFails = 0.5;

// Fleets smaller than this have no median worth comparing with.
constexpr std::size_t kLeastTargets = 3;

std::string Percent(double aShare)
{
  return std::to_string(std::lround(aShare * 100)) + "%";
}

} // namespace

double TargetHealth::State::Rate() const
{
  return m_outcomes < kLeastOutcomes ? 0.0 : m_failures / m_outcomes;
}

void TargetHealth::State::Decay(TimePoint aNow)
{
  using Seconds = std::chrono::duration<double>;
  const double kept = std::exp(-(Seconds(aNow - m_updated) / Seconds(kMemory)));
  m_failures *= kept;
  m_outcomes *= kept;
  m_updated = aNow;
}

void TargetHealth::SetTargets(const std::vector<TargetId>& aTargets)
{
  std::map<TargetId, State> next;
  for (const TargetId& target : aTargets) {
    next[target] = m_states[target];
  }
  m_states = std::move(next);
}

bool TargetHealth::Placed(const TargetId& aTarget)
{
  auto found = m_states.find(aTarget);
  if (found == m_states.end() || !found->second.m_ejected) {
    return false;
  }
  found->second.m_probeSent = true;
  found->second.m_closed = true;
  return true;
}

void TargetHealth::Succeeded(const TargetId& aTarget, TimePoint aNow)
{
  auto found = m_states.find(aTarget);
  if (found != m_states.end()) {
    Count(found->second, true, aNow);
  }
}

void TargetHealth::Failed(const TargetId& aTarget, TimePoint aNow)
{
  auto found = m_states.find(aTarget);
  if (found != m_states.end()) {
    Count(found->second, false, aNow);
  }
}

void TargetHealth::Count(State& aState, bool aSucceeded, TimePoint aNow)
{
  aState.Decay(aNow);
  aState.m_outcomes += 1.0;
  aState.m_failures += aSucceeded ? 0.0 : 1.0;
  if (aState.m_ejected && aState.m_probeSent) {
    CountProbe(aState, aSucceeded, aNow);
  }
}

void TargetHealth::CountProbe(State& aState, bool aSucceeded, TimePoint aNow)
{
  aState.m_probeSent = false;
  if (!aSucceeded) {
    aState.m_probesSucceeded = 0;
    aState.m_probePeriod = std::min(2 * aState.m_probePeriod, kMaxProbePeriod);
    aState.m_nextProbe = aNow + aState.m_probePeriod;
    return;
  }
  ++aState.m_probesSucceeded;
  aState.m_nextProbe = aNow;
  if (aState.m_probesSucceeded >= kProbesToReturn) {
    Return(aState);
  }
}

std::vector<HealthChange> TargetHealth::Update(TimePoint aNow)
{
  const double median = MedianRate();
  const auto share = static_cast<std::size_t>(
    kMaxEjected * static_cast<double>(m_states.size()));
  const std::size_t most =
    m_states.size() < kLeastTargets ? 0 : std::max<std::size_t>(1, share);
  std::size_t ejected = 0;
  std::vector<std::pair<double, State*>> worst;
  for (auto& entry : m_states) {
    State& state = entry.second;
    if (state.m_ejected && median > kFleetFails) {
      Return(state);
    }
    ejected += state.m_ejected ? 1 : 0;
    if (!state.m_ejected && median <= kFleetFails &&
        state.Rate() > median + kExcessRate) {
      worst.emplace_back(state.Rate(), &state);
    }
  }
  std::stable_sort(
    worst.begin(), worst.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
  for (const auto& candidate : worst) {
    if (ejected >= most) {
      break;
    }
    Eject(*candidate.second, aNow);
    ++ejected;
  }
  std::vector<HealthChange> changes;
  for (auto& entry : m_states) {
    State& state = entry.second;
    const bool closed =
      state.m_ejected && (state.m_probeSent || aNow < state.m_nextProbe);
    if (closed == state.m_closed) {
      continue;
    }
    state.m_closed = closed;
    std::string why =
      "failed " + Percent(state.Rate()) + ", the median is " + Percent(median);
    if (!closed) {
      why = state.m_ejected ? "gets one task as a probe" : "takes work again";
    }
    changes.push_back({ entry.first, closed, std::move(why) });
  }
  return changes;
}

bool TargetHealth::Ejected(const TargetId& aTarget) const
{
  auto found = m_states.find(aTarget);
  return found != m_states.end() && found->second.m_ejected;
}

double TargetHealth::MedianRate() const
{
  std::vector<double> rates;
  for (const auto& entry : m_states) {
    rates.push_back(entry.second.Rate());
  }
  if (rates.empty()) {
    return 0.0;
  }
  auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  return *middle;
}

void TargetHealth::Eject(State& aState, TimePoint aNow)
{
  aState.m_ejected = true;
  aState.m_probeSent = false;
  aState.m_probesSucceeded = 0;
  aState.m_nextProbe = aNow + aState.m_probePeriod;
}

void TargetHealth::Return(State& aState)
{
  aState.m_ejected = false;
  aState.m_probeSent = false;
  aState.m_failures = 0.0;
  aState.m_outcomes = 0.0;
  aState.m_probePeriod = kProbePeriod;
}

} // namespace lycheestep
