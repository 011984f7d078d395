#ifndef LYCHEESTEP_LEAD_SUCCESSION_H
#define LYCHEESTEP_LEAD_SUCCESSION_H

#include <map>
#include <string>
#include <vector>

#include "lycheestep/time_types.h"

namespace lycheestep {

struct PeerHost;

// The other hosts by name.
using PeerHosts = std::map<std::string, PeerHost>;

// Returns the live hosts in the order in which they may take the lead: those
// that reach the store by themselves first, and of these the ones with the
// largest processor share.
std::vector<std::string> RankSuccessors(const PeerHosts& aHosts,
                                        TimePoint aNow);

// Returns true if a leader with aOwnShare of a processor, which has led since
// aLeadingSince, is to hand over the lead, because a much larger host has
// reached the store for a while.
bool ShouldHandOver(const PeerHosts& aHosts,
                    double aOwnShare,
                    TimePoint aLeadingSince,
                    TimePoint aNow);

} // namespace lycheestep

#endif
