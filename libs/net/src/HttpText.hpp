#pragma once

#include "masticstep/net/HttpMessage.hpp"

#include <string>

namespace masticstep::net {

// Returns the bytes of a request. Content-Length is added, and Host if the request has none.
std::string RequestText(const HttpRequest& aRequest, const std::string& aHost);

// Returns the status line and headers of an answer, with the empty line.
std::string ResponseHeadText(const HttpResponseHead& aHead, BodyFraming aFraming,
                             std::size_t aBodySize, bool aCloses);

// Appends the line before the bytes of a chunk of a chunked body.
void AppendChunkHeader(std::string& aOutput, std::size_t aSize);

} // namespace masticstep::net
