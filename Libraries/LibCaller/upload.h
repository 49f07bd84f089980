// Uploads in parts. An upload continues at the backend server's offset after a
// failure.

#ifndef CICADADRUM_CALLER_UPLOAD_H_
#define CICADADRUM_CALLER_UPLOAD_H_

#include <functional>
#include <string>

#include "cicadadrum/caller/caller.h"

namespace cicadadrum {

struct UploadRequest {
  std::string service;
  std::string target;  // Path and query at the backend server.
  std::string upload;  // Name of the upload, unique for the client account.
  std::string bytes;
  TimePoint deadline;
};

// Sends the parts one after the other through `caller` and calls `callback`
// once. `loop` and `caller` must exist until then.
void StartUpload(EventLoop& loop,
                 Caller& caller,
                 UploadRequest request,
                 std::function<void(const UploadAnswer&)> callback);

}  // namespace cicadadrum

#endif  // CICADADRUM_CALLER_UPLOAD_H_
