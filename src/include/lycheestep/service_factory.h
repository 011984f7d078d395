#ifndef LYCHEESTEP_SERVICE_FACTORY_H
#define LYCHEESTEP_SERVICE_FACTORY_H

#include <functional>
#include <memory>
#include <string>

namespace lycheestep {

class Service;
struct ProcessSettings;

// Makes one service from the settings, which outlive it.
using ServiceFactory =
  std::function<std::unique_ptr<Service>(const ProcessSettings&)>;

// Registers a factory under a name. A plug-in defines one static object of
// this type in its source file and needs no other code to be found. A name
// that is taken already is a broken invariant.
class ServiceRegistration
{
public:
  ServiceRegistration(const std::string& aName, ServiceFactory aFactory);
};

// Makes the service registered under aName, or returns null.
std::unique_ptr<Service> MakeService(const std::string& aName,
                                     const ProcessSettings& aSettings);

} // namespace lycheestep

#endif
