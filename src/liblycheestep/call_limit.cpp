#include "call_limit.h"

#include <algorithm>
#include <cmath>

namespace lycheestep {

namespace {

// Part of the limit that is left after a lost call.
constexpr double kAfterLoss = 0.7;

// Weight of one answer in the limit.
constexpr double kSmoothing = 0.2;

// Growth of the best latency with each answer.
constexpr double kBestDrift = 1.002;

} // namespace

CallLimit::CallLimit(double aMost)
  : m_most(std::max(kLeast, aMost))
  , m_limit(std::min(kFirst, m_most))
{
}

void CallLimit::Sent()
{
  ++m_inFlight;
}

void CallLimit::Answered(Duration aLatency)
{
  const int inFlight = m_inFlight;
  m_inFlight = std::max(0, m_inFlight - 1);
  const Duration latency = std::max(aLatency, kFast);
  if (m_best == Duration::max()) {
    m_best = latency;
  }
  m_best = std::min(latency,
                    std::chrono::duration_cast<Duration>(m_best * kBestDrift));
  const double gradient =
    std::clamp(kTolerance * static_cast<double>(m_best.count()) /
                 static_cast<double>(latency.count()),
               0.5,
               1.0);
  const bool used = 2.0 * inFlight >= m_limit;
  if (gradient >= 1.0 && !used) {
    return;
  }
  const double next = m_limit * gradient + (used ? std::sqrt(m_limit) : 0.0);
  m_limit += kSmoothing * (next - m_limit);
  m_limit = std::clamp(m_limit, kLeast, m_most);
}

void CallLimit::Lost()
{
  m_inFlight = std::max(0, m_inFlight - 1);
  m_limit = std::max(kLeast, m_limit * kAfterLoss);
}

bool CallLimit::AtLimit() const
{
  return m_inFlight >= Limit();
}

} // namespace lycheestep
