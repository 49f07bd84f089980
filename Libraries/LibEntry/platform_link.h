// Reads of the configuration and the VM list from the platform, and writes of
// claims.

#ifndef CICADADRUM_ENTRY_PLATFORM_LINK_H_
#define CICADADRUM_ENTRY_PLATFORM_LINK_H_

#include <functional>
#include <string>
#include <vector>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_client.h"
#include "cicadadrum/steering/events.h"

namespace cicadadrum {

class PlatformLink {
 public:
  using EventSink = std::function<void(const Event&)>;

  // `sink` receives ConfigurationAdopted, ServersChanged and WriteAnswered.
  PlatformLink(EventLoop& loop, const Deployment& deployment, EventSink sink);

  void Start();
  void WriteClaimRows(const WriteClaims& write);
  void StoreClaimResult(const StoreResult& result);

 private:
  void Poll();
  void ReadServers();
  void ReadVersionRow();
  void ReadBody(std::uint64_t version, const std::string& hash);
  void Get(const std::string& target,
           std::function<void(const std::string& body)> callback);
  void Post(const std::string& target,
            std::string body,
            HttpClient::Callback callback);

  EventLoop& loop_;
  const Deployment& deployment_;
  EventSink sink_;
  HttpClient client_;
  Timer poll_timer_;
  std::uint64_t version_ =
      0;  // Newest configuration version passed to the sink.
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_PLATFORM_LINK_H_
