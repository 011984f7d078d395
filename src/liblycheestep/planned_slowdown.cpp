#include "planned_slowdown.h"

#include <algorithm>

#include "lycheestep/catalogue.h"

namespace lycheestep {

namespace {

// Zero stands for no limit at all.
bool LimitIsLower(std::int64_t aNext, std::int64_t aFormer)
{
  return aNext != 0 && (aFormer == 0 || aNext < aFormer);
}

bool KindIsSlower(const WorkKind& aFormer, const WorkKind& aNext)
{
  return aNext.m_class > aFormer.m_class ||
         aNext.m_deadline > aFormer.m_deadline ||
         !aFormer.m_demand.FitsIn(aNext.m_demand) ||
         aNext.m_tasks < aFormer.m_tasks ||
         aNext.m_queueLimit < aFormer.m_queueLimit ||
         aNext.m_team != aFormer.m_team ||
         (aNext.m_checkpointable && !aFormer.m_checkpointable) ||
         LimitIsLower(aNext.m_runningLimit, aFormer.m_runningLimit) ||
         LimitIsLower(aNext.m_runTimeLimit.count(),
                      aFormer.m_runTimeLimit.count());
}

bool TeamIsSlower(const Team* aFormer, const Team* aNext)
{
  if (aFormer == nullptr || aNext == nullptr) {
    return aNext == nullptr && aFormer != nullptr;
  }
  return aNext->m_quota < aFormer->m_quota || aNext->m_floor < aFormer->m_floor;
}

bool ClassIsSlower(const Catalogue& aFormer,
                   const Catalogue& aNext,
                   WorkClass aClass)
{
  const auto index = static_cast<std::size_t>(aClass);
  return aNext.m_classFloors[index] < aFormer.m_classFloors[index];
}

bool PromiseIsTaken(const Catalogue& aFormer,
                    const Catalogue& aNext,
                    const KindName& aKind)
{
  const auto next = aNext.PromisedCustomersOf(aKind);
  const auto former = aFormer.PromisedCustomersOf(aKind);
  return std::any_of(
    former.begin(), former.end(), [&](const Customer* aCustomer) {
      return std::none_of(next.begin(), next.end(), [&](const Customer* aKept) {
        return aKept->m_name == aCustomer->m_name;
      });
    });
}

} // namespace

std::vector<KindName> SlowedKinds(const Catalogue& aFormer,
                                  const Catalogue& aNext)
{
  std::vector<KindName> slowed;
  for (const WorkKind& former : aFormer.m_kinds) {
    const WorkKind* next = aNext.FindKind(former.m_name);
    const bool slower = next == nullptr || KindIsSlower(former, *next) ||
                        TeamIsSlower(aFormer.FindTeam(former.m_team),
                                     aNext.FindTeam(former.m_team)) ||
                        ClassIsSlower(aFormer, aNext, former.m_class) ||
                        PromiseIsTaken(aFormer, aNext, former.m_name);
    if (slower) {
      slowed.push_back(former.m_name);
    }
  }
  return slowed;
}

} // namespace lycheestep
