#ifndef LYCHEESTEP_SERVICE_H
#define LYCHEESTEP_SERVICE_H

#include <string>
#include <system_error>

namespace lycheestep {

class Kernel;

// One part of the process that crosses its boundary or runs a thread. The
// kernel owns services, starts them in order and stops them in reverse.
class Service
{
public:
  Service() = default;
  virtual ~Service() = default;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  // The name under which other services find this one.
  virtual std::string Name() const = 0;

  // Starts threads and opens sockets. Every service is registered by now, so
  // that others can be found; those registered earlier run already.
  virtual std::error_code Start(Kernel& aKernel) = 0;

  // Ends what Start began and joins its threads. Called once after each
  // successful Start.
  virtual void Stop() = 0;
};

} // namespace lycheestep

#endif
