// Counters, gauges and latency summaries, rendered in the Prometheus text form.

#ifndef CICADADRUM_TELEMETRY_METRICS_H_
#define CICADADRUM_TELEMETRY_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

#include "cicadadrum/base/time.h"

namespace cicadadrum {

// A label set is written as in the text form, for example `class="urgent"`, or
// is empty.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Count(std::string_view name,
             std::string_view labels = {},
             double amount = 1);
  void SetGauge(std::string_view name, std::string_view labels, double value);

  // Adds a sample to a summary with the quantiles 0.5, 0.99 and 0.999, in
  // seconds.
  void Observe(std::string_view name, std::string_view labels, Duration sample);

  // Returns all metrics as text.
  std::string Render() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_TELEMETRY_METRICS_H_
