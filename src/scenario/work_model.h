#ifndef LYCHEESTEP_WORK_MODEL_H
#define LYCHEESTEP_WORK_MODEL_H

#include <cstdint>
#include <map>
#include <string>

#include "lycheestep/catalogue.h"
#include "lycheestep/id.h"
#include "target_model.h"

namespace lycheestep {

// How the tasks of a kind differ from what the catalogue declares.
struct RealWork
{
  // Run time, between these; zero: as declared.
  Duration m_least = Duration::zero();
  Duration m_most = Duration::zero();
  // Usage in percent of the declared demand.
  int m_usagePercent = 100;
  // Tasks that run and fail, in percent.
  int m_failPercent = 0;
};

// What every task really does. The same request always does the same, however
// often and wherever it runs.
class WorkModel
{
public:
  WorkModel(const Catalogue& aCatalogue, std::uint64_t aSeed);

  void SetRealWork(const KindName& aKind, const RealWork& aWork);

  TaskBehaviour BehaviourOf(const TaskStart& aStart) const;

  // The whole answer of a request; no two requests have the same.
  static std::string AnswerTo(const RequestId& aRequest);

private:
  const Catalogue& m_catalogue;
  std::uint64_t m_seed;
  std::map<KindName, RealWork> m_real;
};

} // namespace lycheestep

#endif
