#include <docopt/docopt.h>
#include <signal.h>

#include <chrono>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "platform_server.h"
#include "target_server.h"

namespace {

constexpr const char* kUsage =
  R"(lycheestep-standin: a platform and targets in memory, for tests

Listens on 127.0.0.1 until SIGTERM. The platform takes the port PORT, and the
targets take those that follow.

Usage:
  lycheestep-standin [--port=PORT] [--data-centres=LIST] [--targets=N]
                     [--cores=N] [--memory=MIB] [--slots=N] [--rack=N]
                     [--run-ms=MS]
  lycheestep-standin --help

Options:
  --port=PORT           Port of the platform [default: 9000].
  --data-centres=LIST   Names, with commas between [default: dc1].
  --targets=N           Targets of each data centre [default: 6].
  --cores=N             Cores of a target [default: 30].
  --memory=MIB          Memory of a target in MiB [default: 133120].
  --slots=N             Slots of a target [default: 8].
  --rack=N              Targets of a rack [default: 6].
  --run-ms=MS           Run time of a task whose body names none [default: 50].
)";

using lycheestep::CheckpointStore;
using lycheestep::PlatformServer;
using lycheestep::Resources;
using lycheestep::TargetListing;
using lycheestep::TargetServer;
using Arguments = std::map<std::string, docopt::value>;
using Targets = std::vector<std::unique_ptr<TargetServer>>;

constexpr const char* kHost = "127.0.0.1";
constexpr int kMilliCores = 1000;
constexpr int kConnections = 64;
constexpr std::chrono::seconds kListLag{ 1 };

int NumberOf(const Arguments& aArguments, const char* aName)
{
  return static_cast<int>(aArguments.at(aName).asLong());
}

TargetListing MakeListing(const Arguments& aArguments,
                          const std::string& aDataCentre,
                          int aIndex)
{
  TargetListing listing;
  listing.m_id =
    lycheestep::TargetId(aDataCentre + "-target-" + std::to_string(aIndex + 1));
  listing.m_dataCentre = lycheestep::DataCentreName(aDataCentre);
  const int rack = aIndex / NumberOf(aArguments, "--rack") + 1;
  listing.m_rack =
    lycheestep::RackName(aDataCentre + "-rack-" + std::to_string(rack));
  listing.m_capacity = Resources(
    static_cast<std::int64_t>(NumberOf(aArguments, "--cores")) * kMilliCores,
    NumberOf(aArguments, "--memory"),
    0,
    NumberOf(aArguments, "--slots"),
    kConnections);
  return listing;
}

// Starts all targets; false when a port is taken.
bool StartTargets(const Arguments& aArguments,
                  CheckpointStore& aCheckpoints,
                  Targets& aTargets)
{
  int port = NumberOf(aArguments, "--port");
  const std::chrono::milliseconds runTime(NumberOf(aArguments, "--run-ms"));
  std::istringstream names(aArguments.at("--data-centres").asString());
  for (std::string name; std::getline(names, name, ',');) {
    for (int i = 0; i < NumberOf(aArguments, "--targets"); ++i) {
      ++port;
      aTargets.push_back(std::make_unique<TargetServer>(
        MakeListing(aArguments, name, i), aCheckpoints, runTime));
      if (aTargets.back()->Listen(kHost, port)) {
        std::cerr << "port " << port << " is taken; choose another --port\n";
        return false;
      }
    }
  }
  return true;
}

int Serve(const Arguments& aArguments)
{
  CheckpointStore checkpoints;
  Targets targets;
  if (!StartTargets(aArguments, checkpoints, targets)) {
    return 1;
  }
  PlatformServer platform(
    [&targets] {
      std::vector<TargetListing> hosts;
      for (const auto& target : targets) {
        hosts.push_back(target->Listing());
      }
      return hosts;
    },
    kListLag);
  if (platform.Listen(kHost, NumberOf(aArguments, "--port"))) {
    std::cerr << "the port is taken; choose another --port\n";
    return 1;
  }
  std::cout << "ready" << std::endl;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
  platform.Stop();
  return 0;
}

} // namespace

int main(int aCount, char** aValues)
{
  const Arguments arguments = docopt::docopt(
    kUsage, std::vector<std::string>(aValues + 1, aValues + aCount));
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return Serve(arguments);
}
