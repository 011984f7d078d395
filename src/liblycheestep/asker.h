#ifndef LYCHEESTEP_ASKER_H
#define LYCHEESTEP_ASKER_H

#include "lycheestep/id.h"
#include "lycheestep/request.h"

namespace lycheestep {

// Who waits for the answer to a request: a caller of this host, or a peer
// that forwarded it. At most one of the two is set; with neither nobody waits.
struct Asker
{
  CallerTicket m_ticket = 0;
  EntryId m_peer;
};

} // namespace lycheestep

#endif
