#ifndef LYCHEESTEP_METRICS_REGISTRY_H
#define LYCHEESTEP_METRICS_REGISTRY_H

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

#include "lycheestep/metrics_sink.h"

namespace lycheestep {

// Keeps all metrics of the process in memory and renders them as Prometheus
// text. Render() adds the CPU time and the resident memory of the process. All
// member functions may be called from any thread.
class MetricsRegistry : public MetricsSink
{
public:
  void CountDecision(const LogDecision& aDecision) override;
  void Count(const std::string& aName,
             const std::string& aLabel,
             std::uint64_t aAmount) override;
  void SetGauge(const std::string& aName, double aValue) override;
  void Observe(const std::string& aName,
               const std::string& aLabel,
               Duration aValue) override;
  std::string Render() const override;

private:
  using Buckets = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::variable<double>>>;

  // A histogram of durations in seconds, and the sum of the durations.
  struct Distribution
  {
    Distribution();

    Buckets m_buckets;
    double m_sum = 0;
  };

  // Maps a metric name to the values of its label sets. A label set is written
  // as in Prometheus text, without braces; it is empty if there are no labels.
  template<class T>
  using Family = std::map<std::string, std::map<std::string, T>>;

  // Adds aValue to a histogram. The caller holds m_mutex.
  void ObserveLocked(const std::string& aName,
                     const std::string& aLabel,
                     Duration aValue);

  mutable std::mutex m_mutex;
  Family<std::uint64_t> m_counters;
  std::map<std::string, double> m_gauges;
  Family<Distribution> m_distributions;
};

} // namespace lycheestep

#endif
