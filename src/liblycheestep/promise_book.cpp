#include "promise_book.h"

#include <algorithm>
#include <cstddef>

namespace lycheestep {

namespace {

// A limit of zero means none.
bool Lowered(std::int64_t aBefore, std::int64_t aAfter)
{
  return aAfter != 0 && (aBefore == 0 || aAfter < aBefore);
}

bool TeamLowered(const Catalogue& aBefore,
                 const Catalogue& aAfter,
                 const TeamName& aTeam)
{
  const Team* before = aBefore.FindTeam(aTeam);
  const Team* after = aAfter.FindTeam(aTeam);
  if (before == nullptr) {
    return false;
  }
  return after == nullptr || after->m_quota < before->m_quota ||
         after->m_floor < before->m_floor;
}

bool KindLowered(const WorkKind& aBefore, const WorkKind& aAfter)
{
  return aAfter.m_class > aBefore.m_class || aAfter.m_tasks < aBefore.m_tasks ||
         aAfter.m_queueLimit < aBefore.m_queueLimit ||
         aAfter.m_deadline > aBefore.m_deadline ||
         Lowered(aBefore.m_runningLimit, aAfter.m_runningLimit) ||
         Lowered(aBefore.m_runTimeLimit.count(),
                 aAfter.m_runTimeLimit.count()) ||
         !aBefore.m_demand.FitsIn(aAfter.m_demand) ||
         (aAfter.m_checkpointable && !aBefore.m_checkpointable);
}

bool Slowed(const WorkKind& aKind,
            const Catalogue& aBefore,
            const Catalogue& aAfter)
{
  const WorkKind* after = aAfter.FindKind(aKind.m_name);
  if (after == nullptr || KindLowered(aKind, *after)) {
    return true;
  }
  if (after->m_team != aKind.m_team ||
      TeamLowered(aBefore, aAfter, aKind.m_team)) {
    return true;
  }
  const auto workClass = static_cast<std::size_t>(aKind.m_class);
  return aAfter.m_classFloors[workClass] < aBefore.m_classFloors[workClass];
}

// A customer keeps a promise that a change takes away until the call is made.
bool PromiseTaken(const KindName& aKind,
                  const Catalogue& aBefore,
                  const Catalogue& aAfter)
{
  const auto after = aAfter.PromisedCustomersOf(aKind);
  const auto kept = [&](const Customer* aCustomer) {
    return std::any_of(after.begin(), after.end(), [&](const Customer* aLeft) {
      return aLeft->m_name == aCustomer->m_name;
    });
  };
  const auto before = aBefore.PromisedCustomersOf(aKind);
  return !std::all_of(before.begin(), before.end(), kept);
}

bool DependsOn(const Customer& aCustomer, const KindName& aKind)
{
  const auto& kinds = aCustomer.m_kinds;
  return std::find(kinds.begin(), kinds.end(), aKind) != kinds.end();
}

} // namespace

void PromiseBook::SetCatalogue(std::shared_ptr<const Catalogue> aCatalogue)
{
  m_catalogue = std::move(aCatalogue);
}

bool PromiseBook::IsPromised(const KindName& aKind) const
{
  return m_catalogue && !m_catalogue->PromisedCustomersOf(aKind).empty();
}

bool PromiseBook::Announce(const KindName& aKind,
                           const CustomerName& aCustomer,
                           TimePoint aNow)
{
  if (!m_catalogue) {
    return false;
  }
  const Customer* customer = m_catalogue->FindCustomer(aCustomer);
  if (customer == nullptr || !customer->m_promised ||
      !DependsOn(*customer, aKind)) {
    return false;
  }
  for (auto entry = m_announced.begin(); entry != m_announced.end();) {
    const bool lapsed = aNow - entry->second >= kAnnouncementTerm;
    entry = lapsed ? m_announced.erase(entry) : std::next(entry);
  }
  m_announced[{ aKind, aCustomer }] = aNow;
  return true;
}

std::vector<Customer> PromiseBook::ToCall(const KindName& aKind,
                                          TimePoint aNow) const
{
  std::vector<Customer> toCall;
  if (!m_catalogue) {
    return toCall;
  }
  for (const Customer* customer : m_catalogue->PromisedCustomersOf(aKind)) {
    auto found = m_announced.find({ aKind, customer->m_name });
    if (found == m_announced.end() ||
        aNow - found->second >= kAnnouncementTerm) {
      toCall.push_back(*customer);
    }
  }
  return toCall;
}

std::vector<Customer> PromiseBook::ToCallForChange(const Catalogue& aNext,
                                                   TimePoint aNow) const
{
  std::vector<Customer> toCall;
  if (!m_catalogue) {
    return toCall;
  }
  for (const KindName& kind : KindsSlowedBy(*m_catalogue, aNext)) {
    for (Customer& customer : ToCall(kind, aNow)) {
      const bool listed =
        std::any_of(toCall.begin(), toCall.end(), [&](const Customer& aListed) {
          return aListed.m_name == customer.m_name;
        });
      if (!listed) {
        toCall.push_back(std::move(customer));
      }
    }
  }
  return toCall;
}

void PromiseBook::PlannedSlowdown(const KindName& aKind)
{
  ++m_planned;
  for (auto entry = m_announced.begin(); entry != m_announced.end();) {
    const bool used = entry->first.first == aKind;
    entry = used ? m_announced.erase(entry) : std::next(entry);
  }
}

void PromiseBook::UnplannedSlowdown(const KindName& aKind)
{
  if (IsPromised(aKind)) {
    ++m_unplanned;
  }
}

std::vector<KindName> PromiseBook::KindsSlowedBy(const Catalogue& aBefore,
                                                 const Catalogue& aAfter)
{
  std::vector<KindName> slowed;
  for (const WorkKind& kind : aBefore.m_kinds) {
    if (Slowed(kind, aBefore, aAfter) ||
        PromiseTaken(kind.m_name, aBefore, aAfter)) {
      slowed.push_back(kind.m_name);
    }
  }
  return slowed;
}

} // namespace lycheestep
