#ifndef LYCHEESTEP_PAGE_SIZE_H
#define LYCHEESTEP_PAGE_SIZE_H

#include <cstddef>

#include "lycheestep/time_types.h"

namespace lycheestep {

// Chooses how many rows a read of a table asks for, so that each read takes a
// short time whatever the link and the store are. A read that is too large for
// the link never ends in time, and delays all other calls of the host, such as
// the renewals of a leader.
class PageSize
{
public:
  std::size_t Rows() const { return m_rows; }

  // Adapts to a read of Rows() rows that was answered after aLatency.
  void OnAnswer(Duration aLatency);

  // Adapts to a read without answer. Returns false if smaller reads are not
  // worth a try.
  bool OnFailure();

private:
  std::size_t m_rows = 64;
  int m_failures = 0;
};

} // namespace lycheestep

#endif
