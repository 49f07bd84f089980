// Learns the sizes of responses and limits what is on its way to callers.

#include "transfers.h"

#include <algorithm>

#include "observations.h"

namespace cicadadrum::routing {

namespace {

// Size of the response on a route for downloads before the first one.
constexpr std::uint64_t kDefaultDownloadBytes = 65536;

// Weight of one sample in the means of sizes.
constexpr double kSizeWeight = 0.1;

// A route whose responses are large stays so until their mean falls below this
// share of kLargeTransferBytes.
constexpr double kLargeHysteresis = 0.75;

// Share of the time until a request's deadline that its response, with all
// responses before it, may take on the link of this entry VM. The rest is for
// the server's work and for the way from the server.
constexpr double kMaxLinkTimeShare = 0.5;

constexpr Duration kMinWaitForRoom = Milliseconds(100);
constexpr Duration kMaxWaitForRoom = Seconds(2);

void AddSizeSample(ResponseSize& size, double bytes) {
  ++size.samples;
  const double weight = std::max(kSizeWeight, 1.0 / size.samples);
  size.mean_bytes += (bytes - size.mean_bytes) * weight;
  const double limit = static_cast<double>(kLargeTransferBytes) *
                       (size.is_large ? kLargeHysteresis : 1);
  size.is_large = size.mean_bytes >= limit;
}

bool HasLargeResponse(const RoutingState& state, const RequestState& request) {
  const auto found = state.response_sizes.find(request.route.name);
  if (found == state.response_sizes.end())
    return request.route.kind == RouteKind::kDownload;
  return found->second.is_large;
}

// Returns the size of the responses that this entry VM owes its callers.
double OwedBytes(const RoutingState& state, std::uint64_t unsent_bytes) {
  auto bytes = static_cast<double>(unsent_bytes);
  for (const auto& [id, request] : state.requests) {
    if (request.attempt_in_progress)
      bytes += static_cast<double>(request.expected_response_bytes);
  }
  return bytes;
}

Duration LinkTime(double megabits_per_second, double bytes) {
  constexpr double kBitsPerByte = 8;
  return Duration(
      static_cast<std::int64_t>(bytes * kBitsPerByte / megabits_per_second));
}

}  // namespace

std::uint64_t ExpectedResponseBytes(const RoutingState& state,
                                    const RequestState& request) {
  const auto found = state.response_sizes.find(request.route.name);
  if (found != state.response_sizes.end())
    return static_cast<std::uint64_t>(found->second.mean_bytes);
  return request.route.kind == RouteKind::kDownload ? kDefaultDownloadBytes : 0;
}

bool IsLargeTransfer(const RoutingState& state, const RequestState& request) {
  return request.body_bytes >= kLargeTransferBytes ||
         HasLargeResponse(state, request);
}

void RecordResponseSize(RoutingState& state,
                        const RequestState& request,
                        const AttemptEnded& end) {
  if (end.outcome != ServerOutcome::kSucceeded)
    return;
  const auto bytes = static_cast<double>(end.response_bytes);
  AddSizeSample(state.response_sizes[request.route.name], bytes);
  const double total = bytes + static_cast<double>(request.body_bytes);
  state.mean_transfer_bytes +=
      (total - state.mean_transfer_bytes) *
      (state.mean_transfer_bytes == 0 ? 1 : kSizeWeight / 10);
}

std::optional<TransferLimit> FindTransferLimit(const RoutingState& state,
                                               const RequestState& request,
                                               std::uint64_t unsent_bytes,
                                               TimePoint now) {
  if (!HasLargeResponse(state, request))
    return std::nullopt;
  const double owed = OwedBytes(state, unsent_bytes);
  if (owed == 0)
    return std::nullopt;
  const double total =
      owed + static_cast<double>(ExpectedResponseBytes(state, request));
  const RoutingOptions& options = state.options;
  if (options.response_memory_bytes > 0 &&
      total > static_cast<double>(options.response_memory_bytes))
    return TransferLimit{RefusalReason::kMemoryFull, kMinWaitForRoom};
  if (options.link_megabits_per_second <= 0)
    return std::nullopt;
  const Duration needed = LinkTime(options.link_megabits_per_second, total);
  const Duration allowed =
      FromMs(ToMs(request.deadline - now) * kMaxLinkTimeShare);
  if (needed <= allowed)
    return std::nullopt;
  return TransferLimit{
      RefusalReason::kLinkFull,
      std::clamp(needed - allowed, kMinWaitForRoom, kMaxWaitForRoom)};
}

}  // namespace cicadadrum::routing
