#include "masticstep/net/HostPort.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep::net;

// Guards against accepting addresses that connect elsewhere than written.
MASTICSTEP_TEST("addresses parse only in their exact form", "[net]")
{
  CHECK_TRUE((HostPort::Parse("127.0.0.1:80").value() == HostPort{ "127.0.0.1", 80 }));
  CHECK_TRUE((HostPort::Parse("[::1]:80").value() == HostPort{ "::1", 80 }));
  CHECK_EQUAL(std::string("[::1]:80"), ToString(HostPort{ "::1", 80 }));
  CHECK_TRUE((HostPort::ParseUrl("http://a/").value() == HostPort{ "a", 80 }));
  for (const char* text : { "", ":80", "a", "a:", "a:80x", "a:65536", "a:-1" }) {
    CHECK_FALSE(HostPort::Parse(text).has_value());
  }
  for (const char* text : { "a:80", "https://a:80", "http://", "http://a:80/x" }) {
    CHECK_FALSE(HostPort::ParseUrl(text).has_value());
  }
}
