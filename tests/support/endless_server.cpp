#include "tests/support/endless_server.h"

namespace hawthornlug::testing {

using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kBlockBytes = 16384;

} // namespace

const std::vector<EndlessForm>& EndlessForms()
{
  static const std::vector<EndlessForm> forms = {
    { "bytes that are no head", "", "x", true },
    { "a head of many fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n", true },
    { "a head of one field", "HTTP/1.1 200 OK\r\nA: ", "b", true },
    { "until the connection ends", "HTTP/1.1 200 OK\r\n\r\n", "b", true },
    { "a length", "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", "b", true },
    { "chunks",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "400\r\n" + std::string(1024, 'b') + "\r\n",
      true },
    { "chunks of one byte",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "1\r\nb\r\n",
      true },
    { "a chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
    { "a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x" },
    { "trailer fields", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n" },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  };
  return forms;
}

EndlessServer::EndlessServer(asio::io_context& aContext,
                             EndlessForm aForm,
                             const Tcp::endpoint& aEndpoint)
  : mForm(std::move(aForm))
  , mAcceptor(aContext, aEndpoint)
{
  while (mBlock.size() < kBlockBytes) {
    mBlock += mForm.rest;
  }
  Accept();
}

std::string EndlessServer::Address() const
{
  return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
}

void EndlessServer::Accept()
{
  mAcceptor.async_accept([this](const asio::error_code& aError, Tcp::socket aSocket) {
    if (aError) {
      return;
    }
    Begin(std::make_shared<Peer>(std::move(aSocket)));
    Accept();
  });
}

void EndlessServer::Begin(const std::shared_ptr<Peer>& aPeer)
{
  aPeer->socket.async_read_some(asio::buffer(aPeer->request),
                                [this, aPeer](const asio::error_code& aError, std::size_t) {
                                  if (aError) {
                                    return;
                                  }
                                  ++mBegun;
                                  asio::error_code ec;
                                  asio::write(aPeer->socket, asio::buffer(mForm.start), ec);
                                  SendOn(aPeer);
                                });
}

void EndlessServer::SendOn(const std::shared_ptr<Peer>& aPeer)
{
  asio::async_write(aPeer->socket,
                    asio::buffer(mBlock),
                    [this, aPeer](const asio::error_code& aError, std::size_t) {
                      if (aError) {
                        ++mEnded;
                        return;
                      }
                      if (mForm.pause == std::chrono::milliseconds::zero()) {
                        SendOn(aPeer);
                        return;
                      }
                      aPeer->timer.expires_after(mForm.pause);
                      aPeer->timer.async_wait(
                        [this, aPeer](const asio::error_code&) { SendOn(aPeer); });
                    });
}

} // namespace hawthornlug::testing
