// One process of cicadadrum-platform with its settings, and what the kernel
// reports about it.

#ifndef CICADADRUM_TESTS_UNCONTROLLEDCALLERS_ENTRY_PROCESS_H_
#define CICADADRUM_TESTS_UNCONTROLLEDCALLERS_ENTRY_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace cicadadrum::platform {

struct EntryProcessOptions {
  std::string store_address;
  double memory_megabytes = 0;
  std::uint64_t max_descriptors = 0;
};

// Runs cicadadrum-platform until the object is destroyed.
class EntryProcess {
 public:
  explicit EntryProcess(const EntryProcessOptions& options);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  const std::string& caller_address() const { return caller_address_; }
  const std::string& readiness_address() const { return readiness_address_; }
  const std::string& lookup_address() const { return lookup_address_; }

  // Whether the process still runs. Must be called from the thread that started
  // it.
  bool IsAlive();
  std::uint64_t ResidentBytes() const;
  std::uint64_t OpenDescriptors() const;

 private:
  std::string folder_;
  std::string caller_address_;
  std::string readiness_address_;
  std::string lookup_address_;
  pid_t pid_ = 0;  // 0 after the process has ended.
};

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_UNCONTROLLEDCALLERS_ENTRY_PROCESS_H_
