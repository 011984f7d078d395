#include "work_model.h"

#include <algorithm>

namespace lycheestep {

namespace {

constexpr std::size_t kAnswerPadding = 40;

// A number between 0 and 9999 that depends on the request alone.
std::uint64_t DrawFor(const RequestId& aRequest, std::uint64_t aSeed)
{
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = 14695981039346656037ULL ^ aSeed;
  for (const char letter : aRequest.Text()) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * kPrime;
  }
  return (hash >> 20U) % 10000;
}

} // namespace

WorkModel::WorkModel(const Catalogue& aCatalogue, std::uint64_t aSeed)
  : m_catalogue(aCatalogue)
  , m_seed(aSeed)
{
}

void WorkModel::SetRealWork(const KindName& aKind, const RealWork& aWork)
{
  m_real[aKind] = aWork;
}

TaskBehaviour WorkModel::BehaviourOf(const TaskStart& aStart) const
{
  TaskBehaviour behaviour;
  behaviour.m_answer = AnswerTo(aStart.m_request);
  behaviour.m_usage = aStart.m_demand;
  const WorkKind* kind = m_catalogue.FindKind(aStart.m_kind);
  if (kind == nullptr) {
    return behaviour;
  }
  behaviour.m_runTime =
    kind->m_form == WorkForm::kService ? Duration::max() : kind->m_runTime;
  behaviour.m_finishesOnStop = kind->m_form == WorkForm::kRequest;
  auto found = m_real.find(aStart.m_kind);
  if (found == m_real.end()) {
    return behaviour;
  }
  const RealWork& real = found->second;
  const std::uint64_t draw = DrawFor(aStart.m_request, m_seed);
  if (real.m_most > Duration::zero()) {
    const auto part = static_cast<Duration::rep>(draw);
    behaviour.m_runTime =
      real.m_least + (real.m_most - real.m_least) / 10000 * part;
  }
  behaviour.m_usage = aStart.m_demand.Scaled(real.m_usagePercent, 100);
  behaviour.m_succeeds =
    draw % 100 >= static_cast<std::uint64_t>(real.m_failPercent);
  return behaviour;
}

std::string WorkModel::AnswerTo(const RequestId& aRequest)
{
  return "answer to " + aRequest.Text() + ", " +
         std::string(kAnswerPadding, '.') + " end of " + aRequest.Text();
}

} // namespace lycheestep
