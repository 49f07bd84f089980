// Reads the resource usage of this process from the kernel.

#include "cicadadrum/telemetry/process_metrics.h"

#include <sys/resource.h>

namespace cicadadrum {

namespace {

double ToSeconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / 1e6;
}

}  // namespace

void SetProcessMetrics(Metrics& metrics) {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  metrics.SetGauge("process_cpu_seconds", "",
                   ToSeconds(usage.ru_utime) + ToSeconds(usage.ru_stime));
  // The kernel reports kilobytes.
  metrics.SetGauge("process_max_resident_bytes", "",
                   static_cast<double>(usage.ru_maxrss) * 1024);
}

}  // namespace cicadadrum
