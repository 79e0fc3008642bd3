#include "adapters/http_pool.h"

#include <optional>

namespace hawthornlug {

namespace {

/// Shorter than the idle timeout of servers, so that no request is sent on a connection that the
/// server is closing.
constexpr Duration kMaxIdleTime = seconds(20);
/// A larger response fails the call: it is no object of the platform and no daemon's answer.
constexpr std::size_t kMaxResponseBytes = std::size_t{ 16 } << 20;
constexpr http::ClientLimits kLimits = { .bodies = { kMaxResponseBytes, kMaxResponseBytes } };
constexpr std::string_view kHttpScheme = "http://";
constexpr const char* kDefaultPort = ":80";

std::string HostPortOf(std::string_view aUrl)
{
  if (aUrl.starts_with(kHttpScheme)) {
    aUrl.remove_prefix(kHttpScheme.size());
  }
  std::string host(aUrl.substr(0, aUrl.find('/')));
  return host.find(':') == std::string::npos ? host + kDefaultPort : host;
}

} // namespace

/// A client with an event loop of its own, which runs on the thread of its call, and only during
/// it. It has one connection.
struct HttpPool::BlockingClient
{
  asio::io_context context{ 1 };
  http::Client client{ context, kLimits };

  http::CallOutcome Send(const std::string& aAddress,
                         const http::Request& aRequest,
                         Duration aTimeout)
  {
    // The server may have closed the idle connection meanwhile.
    context.restart();
    context.poll();
    http::CallOptions options;
    options.timeout = aTimeout;
    options.maxIdle = kMaxIdleTime;
    options.keep = 1;
    std::optional<http::CallOutcome> outcome;
    client.Send(aAddress, aRequest, options, [&outcome](http::CallOutcome aOutcome) {
      outcome = std::move(aOutcome);
    });
    context.restart();
    while (!outcome && context.run_one() > 0) {
    }
    return outcome ? std::move(*outcome) : http::CallOutcome();
  }
};

HttpPool::HttpPool(std::string_view aUrl, std::size_t aMaxIdle)
  : mHostPort(HostPortOf(aUrl))
  , mMaxIdle(aMaxIdle)
{
}

HttpPool::~HttpPool() = default;

std::unique_ptr<HttpPool::BlockingClient> HttpPool::Acquire()
{
  {
    const std::lock_guard lock(mMutex);
    if (!mIdleClients.empty()) {
      std::unique_ptr<BlockingClient> client = std::move(mIdleClients.back());
      mIdleClients.pop_back();
      return client;
    }
  }
  return std::make_unique<BlockingClient>();
}

void HttpPool::Release(std::unique_ptr<BlockingClient> aClient)
{
  const std::lock_guard lock(mMutex);
  if (mIdleClients.size() < mMaxIdle) {
    mIdleClients.push_back(std::move(aClient));
  }
}

std::vector<std::string> HttpPool::Addresses() const
{
  if (http::ParseEndpoint(mHostPort)) {
    return { mHostPort };
  }
  const std::size_t colon = mHostPort.rfind(':');
  asio::io_context context;
  asio::ip::tcp::resolver resolver(context);
  asio::error_code ec;
  std::vector<std::string> addresses;
  for (const auto& it :
       resolver.resolve(mHostPort.substr(0, colon), mHostPort.substr(colon + 1), ec)) {
    const asio::ip::tcp::endpoint endpoint = it.endpoint();
    addresses.push_back(endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
  }
  return addresses;
}

http::CallOutcome HttpPool::Send(http::Request aRequest, Duration aTimeout)
{
  aRequest.headers.Set("Host", mHostPort);
  http::CallOutcome outcome;
  for (const std::string& it : Addresses()) {
    std::unique_ptr<BlockingClient> client = Acquire();
    outcome = client->Send(it, aRequest, aTimeout);
    if (outcome.result == http::CallResult::kAnswered) {
      Release(std::move(client));
      break;
    }
    const bool wasSent =
      outcome.result != http::CallResult::kRefused && outcome.result != http::CallResult::kNotSent;
    if (wasSent) {
      break;
    }
  }
  return outcome;
}

} // namespace hawthornlug
