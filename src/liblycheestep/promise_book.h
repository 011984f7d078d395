#ifndef LYCHEESTEP_PROMISE_BOOK_H
#define LYCHEESTEP_PROMISE_BOOK_H

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "lycheestep/catalogue.h"
#include "lycheestep/id.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Which promised customers were called about a planned slowdown of which kind
// of work, and so which planned slowdowns may go ahead. An announcement covers
// one planned slowdown and lapses after kAnnouncementTerm.
class PromiseBook
{
public:
  static constexpr Duration kAnnouncementTerm = std::chrono::hours(24);

  // Takes over a new catalogue. Announcements stay.
  void SetCatalogue(std::shared_ptr<const Catalogue> aCatalogue);

  // True when a customer with a promise depends on the kind: the scheduler
  // never throttles, stops or pre-empts its tasks by itself.
  bool IsPromised(const KindName& aKind) const;

  // Records that the customer was called. False when the customer has no
  // promise that covers the kind; nothing is recorded then.
  bool Announce(const KindName& aKind,
                const CustomerName& aCustomer,
                TimePoint aNow);

  // The customers who have to be called before the kind may be slowed down.
  std::vector<Customer> ToCall(const KindName& aKind, TimePoint aNow) const;

  // The customers who have to be called before aNext replaces the catalogue
  // in force, each once.
  std::vector<Customer> ToCallForChange(const Catalogue& aNext,
                                        TimePoint aNow) const;

  // A planned slowdown of the kind went ahead: its announcements are used up.
  void PlannedSlowdown(const KindName& aKind);

  // Work of the kind was slowed down by a failure.
  void UnplannedSlowdown(const KindName& aKind);

  // Slowdowns since the start; planned ones and failures apart.
  std::uint64_t Planned() const { return m_planned; }
  std::uint64_t Unplanned() const { return m_unplanned; }

  // The kinds of aBefore that aAfter slows down: by a lower limit, quota or
  // floor, a less urgent class, a smaller demand, or by leaving out the kind or
  // the promise.
  static std::vector<KindName> KindsSlowedBy(const Catalogue& aBefore,
                                             const Catalogue& aAfter);

private:
  std::shared_ptr<const Catalogue> m_catalogue;
  std::map<std::pair<KindName, CustomerName>, TimePoint> m_announced;
  std::uint64_t m_planned = 0;
  std::uint64_t m_unplanned = 0;
};

} // namespace lycheestep

#endif
