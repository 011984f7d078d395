#include "lycheestep/kernel.h"

#include <cstdlib>
#include <utility>

namespace lycheestep {

Kernel::~Kernel()
{
  Stop();
}

void Kernel::Register(std::unique_ptr<Service> aService)
{
  if (!aService || FindService(aService->Name())) {
    std::abort();
  }
  m_services.push_back(std::move(aService));
}

std::error_code Kernel::Start()
{
  m_failedService.clear();
  for (; m_running < m_services.size(); ++m_running) {
    Service& service = *m_services[m_running];
    const std::error_code error = service.Start(*this);
    if (error) {
      m_failedService = service.Name();
      Stop();
      return error;
    }
  }
  return {};
}

void Kernel::Stop()
{
  while (m_running > 0) {
    --m_running;
    m_services[m_running]->Stop();
  }
}

Service* Kernel::FindService(const std::string& aName) const
{
  for (const std::unique_ptr<Service>& service : m_services) {
    if (service->Name() == aName) {
      return service.get();
    }
  }
  return nullptr;
}

} // namespace lycheestep
