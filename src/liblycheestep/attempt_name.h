#ifndef LYCHEESTEP_ATTEMPT_NAME_H
#define LYCHEESTEP_ATTEMPT_NAME_H

#include <cstdint>

#include "lycheestep/id.h"

namespace lycheestep {

// Who started an attempt: an entry host in one epoch of its session. Both are
// part of the attempt's id, so that whoever reads a target's report knows
// whose task it is without a table read.
struct AttemptOwner
{
  EntryId m_entry;
  std::uint64_t m_epoch = 0;
};

// "<entry>/<epoch>/<number>". Unique for all time as long as the number is
// used once in that epoch.
AttemptId MakeAttemptId(const EntryId& aEntry,
                        std::uint64_t aEpoch,
                        std::uint64_t aNumber);

// The owner that MakeAttemptId wrote into the id; an empty entry when the id
// has another form.
AttemptOwner OwnerOf(const AttemptId& aAttempt);

} // namespace lycheestep

#endif
