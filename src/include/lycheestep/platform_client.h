#ifndef LYCHEESTEP_PLATFORM_CLIENT_H
#define LYCHEESTEP_PLATFORM_CLIENT_H

#include "lycheestep/action.h"

namespace lycheestep {

// Carries calls to the platform. No function waits: each call ends in exactly
// one event.
class PlatformClient
{
public:
  virtual ~PlatformClient() = default;

  // Ends in TableAnswered. A write is never tried twice: a lost answer is
  // kUnknown, a connection that could not be made is kNotSent.
  virtual void Transact(TransactTable aCall) = 0;

  // Ends in TableAnswered. May be tried again within the time limit.
  virtual void Read(ReadTable aCall) = 0;

  // Ends in HostListAnswered.
  virtual void FetchHosts() = 0;
};

} // namespace lycheestep

#endif
