// The record of a case: what was sent, answered and run.

#ifndef CICADADRUM_REVIEW_STAND_INS_RECORD_H_
#define CICADADRUM_REVIEW_STAND_INS_RECORD_H_

#include <cstdio>
#include <mutex>
#include <string>

#include "http.h"

namespace cicadadrum::review {

// Exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

// Writes lines with the time since the start of the case. May be used by
// several threads.
class Record {
 public:
  // Writes to `path`, or to standard output if the file can't be written.
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Write(const std::string& line);
  // Writes the line to the record and to standard output.
  void Conclude(const std::string& line);

 private:
  std::mutex mutex_;
  Clock::time_point began_ = Clock::now();
  std::FILE* file_;
};

// Whether the case runs with its disruption. TROUBLE=0 runs it without.
bool IsTroubled();

}  // namespace cicadadrum::review

#endif  // CICADADRUM_REVIEW_STAND_INS_RECORD_H_
