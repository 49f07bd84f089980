// Metrics of the processor time and memory that this process uses.

#ifndef CICADADRUM_TELEMETRY_PROCESS_METRICS_H_
#define CICADADRUM_TELEMETRY_PROCESS_METRICS_H_

#include "cicadadrum/telemetry/metrics.h"

namespace cicadadrum {

// Sets the gauges process_cpu_seconds (user and system time) and
// process_max_resident_bytes.
void SetProcessMetrics(Metrics& metrics);

}  // namespace cicadadrum

#endif  // CICADADRUM_TELEMETRY_PROCESS_METRICS_H_
