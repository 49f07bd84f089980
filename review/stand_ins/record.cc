// Writes the record of a case.

#include "record.h"

#include <cstdlib>

namespace cicadadrum::review {

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr)
    file_ = stdout;
}

Record::~Record() {
  if (file_ != stdout)
    std::fclose(file_);
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> time = Clock::now() - began_;
  std::fprintf(file_, "%8.3f %s\n", time.count(), line.c_str());
  std::fflush(file_);
}

void Record::Conclude(const std::string& line) {
  Write(line);
  std::printf("%s\n", line.c_str());
}

bool IsTroubled() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace cicadadrum::review
