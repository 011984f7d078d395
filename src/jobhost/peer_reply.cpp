#include "peer_reply.h"

#include "jobs.pb.h"

namespace lycheestep {

proto::JobPeerMessage MakeReplyTo(std::uint64_t aCaller)
{
  proto::JobPeerMessage reply;
  reply.set_to_incarnation(aCaller);
  return reply;
}

bool IsReplyToOther(const proto::JobPeerMessage& aMessage,
                    std::uint64_t aIncarnation)
{
  return aMessage.to_incarnation() != 0 &&
         aMessage.to_incarnation() != aIncarnation;
}

} // namespace lycheestep
