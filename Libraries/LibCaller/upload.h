// Uploads in parts that can be resumed.

#ifndef CICADADRUM_CALLER_UPLOAD_H_
#define CICADADRUM_CALLER_UPLOAD_H_

#include <functional>
#include <string>

#include "cicadadrum/caller/caller.h"

namespace cicadadrum {

struct UploadRequest {
  std::string service;
  std::string target;
  std::string upload;  // Name of the upload, unique for the customer.
  std::string bytes;
  TimePoint deadline;
};

// Sends the parts one after the other through `caller` and calls `callback`
// once.
void StartUpload(EventLoop& loop,
                 Caller& caller,
                 UploadRequest request,
                 std::function<void(const UploadAnswer&)> callback);

}  // namespace cicadadrum

#endif  // CICADADRUM_CALLER_UPLOAD_H_
