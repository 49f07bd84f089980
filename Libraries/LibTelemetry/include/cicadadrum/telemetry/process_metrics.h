// Processor time and memory of this process as metrics.

#ifndef CICADADRUM_TELEMETRY_PROCESS_METRICS_H_
#define CICADADRUM_TELEMETRY_PROCESS_METRICS_H_

#include "cicadadrum/telemetry/metrics.h"

namespace cicadadrum {

// Sets process_cpu_seconds and process_max_resident_bytes.
void SetProcessMetrics(Metrics& metrics);

}  // namespace cicadadrum

#endif  // CICADADRUM_TELEMETRY_PROCESS_METRICS_H_
