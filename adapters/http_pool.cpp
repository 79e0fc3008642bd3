#include "adapters/http_pool.h"

namespace hawthornlug {

namespace {

/// Shorter than the idle timeout of servers, so that no request is sent on a connection that the
/// server is closing.
constexpr std::chrono::seconds kMaxIdleTime{ 20 };
/// A larger response fails the call: it is no object of the platform and no daemon's answer.
constexpr std::size_t kMaxResponseBytes = std::size_t{ 16 } << 20;

} // namespace

HttpPool::HttpPool(std::string aUrl, std::size_t aMaxIdle, Duration aConnectTimeout)
  : mUrl(std::move(aUrl))
  , mMaxIdle(aMaxIdle)
  , mConnectTimeout(aConnectTimeout)
{
}

std::unique_ptr<httplib::Client> HttpPool::Acquire()
{
  {
    const std::lock_guard lock(mMutex);
    const auto now = std::chrono::steady_clock::now();
    while (!mIdleClients.empty()) {
      IdleClient idle = std::move(mIdleClients.back());
      mIdleClients.pop_back();
      if (now - idle.since < kMaxIdleTime) {
        return std::move(idle.client);
      }
    }
  }
  auto client = std::make_unique<httplib::Client>(mUrl);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(true);
  client->set_connection_timeout(mConnectTimeout);
  return client;
}

void HttpPool::Release(std::unique_ptr<httplib::Client> aClient)
{
  const std::lock_guard lock(mMutex);
  if (mIdleClients.size() < mMaxIdle) {
    mIdleClients.push_back({ std::move(aClient), std::chrono::steady_clock::now() });
  }
}

httplib::Result HttpPool::Send(const httplib::Request& aRequest, Duration aTimeout)
{
  std::unique_ptr<httplib::Client> client = Acquire();
  client->set_read_timeout(aTimeout);
  client->set_write_timeout(aTimeout);
  httplib::Request request = aRequest;
  std::string body;
  request.content_receiver =
    [&body](const char* aData, std::size_t aBytes, std::uint64_t, std::uint64_t) {
      if (body.size() + aBytes > kMaxResponseBytes) {
        return false;
      }
      body.append(aData, aBytes);
      return true;
    };
  httplib::Result result = client->send(request);
  if (result) {
    result->body = std::move(body);
    Release(std::move(client));
  }
  return result;
}

} // namespace hawthornlug
