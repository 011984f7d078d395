#include "metrics_registry.h"

#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <vector>

namespace lycheestep {

namespace {

// Returns the edges of the histogram buckets in seconds. The upper bounds run
// from half a millisecond to a minute.
const std::vector<double>& BucketEdges()
{
  static const std::vector<double> kEdges = { 0.0,  0.0005, 0.001, 0.002, 0.005,
                                              0.01, 0.02,   0.05,  0.1,   0.2,
                                              0.5,  1.0,    2.0,   5.0,   10.0,
                                              20.0, 60.0 };
  return kEdges;
}

// Returns the value of the "decision" label. The names stand in the order of
// DecisionKind.
const char* NameOf(DecisionKind aDecision)
{
  constexpr const char* kNames[] = { "admitted",  "refused", "placed",
                                     "forwarded", "retried", "finished",
                                     "stopped" };
  return kNames[static_cast<std::size_t>(aDecision)];
}

// Escapes backslashes and quotes in a label value, and replaces line feeds by
// spaces.
std::string EscapeLabel(const std::string& aText)
{
  std::string escaped;
  for (const char c : aText) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    escaped += c == '\n' ? ' ' : c;
  }
  return escaped;
}

// Returns aName{aLabel}, or aName if aLabel is empty.
std::string Series(const std::string& aName, const std::string& aLabel)
{
  return aLabel.empty() ? aName : aName + '{' + aLabel + '}';
}

// Appends the label le="aBound", the upper bound of a bucket, to aLabel.
std::string WithBound(const std::string& aLabel, const std::string& aBound)
{
  const std::string bound = "le=\"" + aBound + '"';
  return aLabel.empty() ? bound : aLabel + ',' + bound;
}

void WriteType(std::ostream& aOut, const std::string& aName, const char* aType)
{
  aOut << "# TYPE " << aName << ' ' << aType << '\n';
}

// Returns the user and system CPU time of the process in seconds.
double ProcessorSeconds()
{
  constexpr double kMicrosecond = 1e-6;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) * kMicrosecond;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

long ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

} // namespace

MetricsRegistry::Distribution::Distribution()
  : m_buckets(boost::histogram::make_histogram(
      boost::histogram::axis::variable<double>(BucketEdges())))
{
}

void MetricsRegistry::CountDecision(const LogDecision& aDecision)
{
  const std::string kind =
    "kind=\"" + EscapeLabel(aDecision.m_kind.Text()) + '"';
  const std::string label =
    std::string("decision=\"") + NameOf(aDecision.m_decision) + "\"," + kind;
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_counters["lycheestep_decisions_total"][label];
  if (aDecision.m_decision == DecisionKind::kPlaced) {
    ObserveLocked("lycheestep_wait_seconds", kind, aDecision.m_waited);
  }
}

void MetricsRegistry::Count(const std::string& aName,
                            const std::string& aLabel,
                            std::uint64_t aAmount)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_counters[aName][aLabel] += aAmount;
}

void MetricsRegistry::SetGauge(const std::string& aName, double aValue)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_gauges[aName] = aValue;
}

void MetricsRegistry::Observe(const std::string& aName,
                              const std::string& aLabel,
                              Duration aValue)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  ObserveLocked(aName, aLabel, aValue);
}

void MetricsRegistry::ObserveLocked(const std::string& aName,
                                    const std::string& aLabel,
                                    Duration aValue)
{
  const double seconds = std::chrono::duration<double>(aValue).count();
  Distribution& distribution = m_distributions[aName][aLabel];
  distribution.m_buckets(seconds);
  distribution.m_sum += seconds;
}

std::string MetricsRegistry::Render() const
{
  std::ostringstream out;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [name, series] : m_counters) {
    WriteType(out, name, "counter");
    for (const auto& [label, value] : series) {
      out << Series(name, label) << ' ' << value << '\n';
    }
  }
  for (const auto& [name, value] : m_gauges) {
    WriteType(out, name, "gauge");
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, series] : m_distributions) {
    WriteType(out, name, "histogram");
    for (const auto& [label, distribution] : series) {
      double count = 0;
      const auto& axis = distribution.m_buckets.axis();
      for (int i = 0; i < axis.size(); ++i) {
        count += distribution.m_buckets.at(i);
        std::ostringstream bound;
        bound << axis.bin(i).upper();
        out << Series(name + "_bucket", WithBound(label, bound.str())) << ' '
            << count << '\n';
      }
      count += distribution.m_buckets.at(axis.size());
      out << Series(name + "_bucket", WithBound(label, "+Inf")) << ' ' << count
          << '\n';
      out << Series(name + "_sum", label) << ' ' << distribution.m_sum << '\n';
      out << Series(name + "_count", label) << ' ' << count << '\n';
    }
  }
  WriteType(out, "lycheestep_cpu_seconds_total", "counter");
  out << "lycheestep_cpu_seconds_total " << ProcessorSeconds() << '\n';
  WriteType(out, "lycheestep_resident_bytes", "gauge");
  out << "lycheestep_resident_bytes " << ResidentBytes() << '\n';
  return out.str();
}

} // namespace lycheestep
