#ifndef LYCHEESTEP_PEER_REPLY_H
#define LYCHEESTEP_PEER_REPLY_H

#include <cstdint>

namespace lycheestep {

namespace proto {
class JobPeerMessage;
}

// Calls are numbered by the process that makes them. A process that starts
// again counts from the beginning, at the same address, so each reply names the
// process that it is for.

// Returns an empty reply to a message of the process with aCaller as its
// incarnation.
proto::JobPeerMessage MakeReplyTo(std::uint64_t aCaller);

// Returns true if the message is a reply to another process than the one with
// aIncarnation. Replies of earlier releases name none.
bool IsReplyToOther(const proto::JobPeerMessage& aMessage,
                    std::uint64_t aIncarnation);

} // namespace lycheestep

#endif
