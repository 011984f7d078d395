#include "lycheestep/service_factory.h"

#include <cstdlib>
#include <map>
#include <utility>

#include "lycheestep/service.h"

namespace lycheestep {

namespace {

std::map<std::string, ServiceFactory>& Factories()
{
  static std::map<std::string, ServiceFactory> factories;
  return factories;
}

} // namespace

ServiceRegistration::ServiceRegistration(const std::string& aName,
                                         ServiceFactory aFactory)
{
  if (!Factories().emplace(aName, std::move(aFactory)).second) {
    std::abort();
  }
}

std::unique_ptr<Service> MakeService(const std::string& aName,
                                     const ProcessSettings& aSettings)
{
  const auto found = Factories().find(aName);
  if (found == Factories().end()) {
    return nullptr;
  }
  return found->second(aSettings);
}

} // namespace lycheestep
