#pragma once

#include "HttpStatus.h"

#include <boost/asio.hpp>
#include <boost/outcome/try.hpp>
#include <hyssopwick_deployment.h>

namespace hyssopwick {

namespace asio = boost::asio;
using TcpSocket = asio::ip::tcp::socket;
using UdpSocket = asio::ip::udp::socket;
using EventLoop = asio::io_context;
using LoopTimer = asio::basic_waitable_timer<MonotonicClock>;

/// Parses "ip:port". Fails with ErrorCode::InvalidInput.
Outcome<asio::ip::tcp::endpoint> parseEndpoint(const std::string& address);

/// Sets the options of all connections between VMs: no delay of small writes, and a timeout
/// on unacknowledged data.
void prepareSocket(TcpSocket& socket);

}
