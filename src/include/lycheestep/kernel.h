#ifndef LYCHEESTEP_KERNEL_H
#define LYCHEESTEP_KERNEL_H

#include <cstddef>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "lycheestep/service.h"

namespace lycheestep {

// Owns the services of a process and lets them find each other by name. Not
// thread-safe: Register, Start and Stop are called by the main thread only,
// and Find by services while they start.
class Kernel
{
public:
  Kernel() = default;
  ~Kernel();
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  // Takes over a service. Its name must be free.
  void Register(std::unique_ptr<Service> aService);

  // The service of that name if it implements T, else null.
  template<class T>
  T* Find(const std::string& aName) const
  {
    return dynamic_cast<T*>(FindService(aName));
  }

  // Starts all services in the order of their registration. When one fails,
  // stops those that run and returns its error.
  std::error_code Start();

  // The name of the service that made Start fail; empty if none did.
  const std::string& FailedService() const { return m_failedService; }

  // Stops the running services in reverse order. May be called again.
  void Stop();

private:
  Service* FindService(const std::string& aName) const;

  std::vector<std::unique_ptr<Service>> m_services;
  std::size_t m_running = 0;
  std::string m_failedService;
};

} // namespace lycheestep

#endif
