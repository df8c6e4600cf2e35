#include "CompletionResponse.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace masticstep::gateway {

namespace {

class StreamingResponse : public CompletionResponse
{
public:
  StreamingResponse(std::string aRequestId, net::HttpResponder& aResponder)
    : mRequestId(std::move(aRequestId))
    , mResponder(aResponder)
  {
  }

  net::Task<Result<void, net::NetError>> Add(const TokenEvent& aToken) override
  {
    if (!mResponder.HasStarted()) {
      mResponder.StartStream({ 200,
                               { { "Content-Type", "text/event-stream" },
                                 { "Cache-Control", "no-store" },
                                 { "X-Request-Id", mRequestId } } });
    }
    std::string event = "data: ";
    event += aToken.data;
    event += "\n\n";
    co_return co_await mResponder.WriteChunk(event);
  }

  net::Task<void> Finish() override
  {
    if (!mResponder.HasStarted()) {
      mResponder.StartStream(
        { 200, { { "Content-Type", "text/event-stream" }, { "X-Request-Id", mRequestId } } });
    }
    const Result<void, net::NetError> written = co_await mResponder.WriteChunk("data: [DONE]\n\n");
    if (written) {
      co_await mResponder.EndStream();
    }
  }

  net::Task<void> Fail(const Refusal& aRefusal) override
  {
    if (!mResponder.HasStarted()) {
      co_await mResponder.Send(ToResponse(aRefusal, mRequestId));
      co_return;
    }
    const std::string event = ErrorEvent(aRefusal, mRequestId);
    const Result<void, net::NetError> written = co_await mResponder.WriteChunk(event);
    if (written) {
      co_await mResponder.EndStream();
    }
  }

private:
  const std::string mRequestId;
  net::HttpResponder& mResponder;
};

class BufferedResponse : public CompletionResponse
{
public:
  BufferedResponse(const CompletionRequest& aRequest, std::string aRequestId,
                   net::HttpResponder& aResponder)
    : mModel(aRequest.model.Text())
    , mIsChat(aRequest.isChat)
    , mPromptTokens(aRequest.promptTokens)
    , mRequestId(std::move(aRequestId))
    , mResponder(aResponder)
  {
  }

  net::Task<Result<void, net::NetError>> Add(const TokenEvent& aToken) override
  {
    mText += aToken.text;
    ++mCompletionTokens;
    if (!aToken.finishReason.empty()) {
      mFinishReason = aToken.finishReason;
    }
    co_return Result<void, net::NetError>{};
  }

  net::Task<void> Finish() override
  {
    net::HttpResponse response = net::JsonResponse(200, Body());
    response.headers.push_back({ "X-Request-Id", mRequestId });
    co_await mResponder.Send(std::move(response));
  }

  net::Task<void> Fail(const Refusal& aRefusal) override
  {
    co_await mResponder.Send(ToResponse(aRefusal, mRequestId));
  }

private:
  std::string Body() const
  {
    boost::json::object choice{ { "index", 0 }, { "finish_reason", mFinishReason } };
    if (mIsChat) {
      choice["message"] = boost::json::object{ { "role", "assistant" }, { "content", mText } };
    } else {
      choice["text"] = mText;
    }
    const boost::json::object usage{ { "prompt_tokens", mPromptTokens },
                                     { "completion_tokens", mCompletionTokens },
                                     { "total_tokens", mPromptTokens + mCompletionTokens } };
    return boost::json::serialize(
      boost::json::object{ { "id", mRequestId },
                           { "object", mIsChat ? "chat.completion" : "text_completion" },
                           { "model", mModel },
                           { "choices", boost::json::array{ choice } },
                           { "usage", usage } });
  }

  const std::string mModel;
  const bool mIsChat;
  const std::uint32_t mPromptTokens;
  const std::string mRequestId;
  net::HttpResponder& mResponder;
  std::string mText;
  std::string mFinishReason;
  std::uint32_t mCompletionTokens = 0;
};

} // namespace

std::unique_ptr<CompletionResponse> CompletionResponse::Create(const CompletionRequest& aRequest,
                                                               std::string aRequestId,
                                                               net::HttpResponder& aResponder)
{
  if (aRequest.isStreaming) {
    return std::make_unique<StreamingResponse>(std::move(aRequestId), aResponder);
  }
  return std::make_unique<BufferedResponse>(aRequest, std::move(aRequestId), aResponder);
}

} // namespace masticstep::gateway
