// Counters, gauges and latency summaries, rendered in the Prometheus text
// exposition format.

#ifndef CICADADRUM_TELEMETRY_METRICS_H_
#define CICADADRUM_TELEMETRY_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

#include "cicadadrum/base/time.h"

namespace cicadadrum {

// Label sets are passed as in the text format, for example `class="urgent"`,
// with values already escaped. An empty label set stands for none.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds `amount` to a counter.
  void Count(std::string_view name,
             std::string_view labels = {},
             double amount = 1);
  // Sets a gauge to `value`, in the unit that the metric's name states.
  void SetGauge(std::string_view name, std::string_view labels, double value);

  // Adds a sample to a summary. The summary reports the quantiles 0.5, 0.99 and
  // 0.999, in seconds, once it has enough samples to estimate them.
  void Observe(std::string_view name, std::string_view labels, Duration sample);

  // Returns all metrics in the text format.
  std::string Render() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_TELEMETRY_METRICS_H_
