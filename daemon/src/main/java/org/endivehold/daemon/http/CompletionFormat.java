package org.endivehold.daemon.http;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.endivehold.misc.ModelName;
import org.endivehold.misc.RequestId;
import org.endivehold.upstream.StreamEnd;

/**
 * Builds the JSON of answers in the format of the OpenAI completion API.
 *
 * @param request the id of the request
 * @param model the model name as given by the caller
 * @param chat whether to use the chat completion format
 */
record CompletionFormat(RequestId request, ModelName model, boolean chat) {
    /** Builds an event of a streamed answer that carries text. */
    JsonObject chunk(String text) {
        JsonObject choice = new JsonObject().put("index", 0).putNull("finish_reason");
        if (chat) {
            choice.put("delta", new JsonObject().put("content", text));
        } else {
            choice.put("text", text);
        }
        return responseObject(chat ? "chat.completion.chunk" : "text_completion")
                .put("choices", new JsonArray().add(choice));
    }

    /** Builds the last event of a streamed answer, with the finish reason and the token usage. */
    JsonObject finalChunk(StreamEnd end) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", end.reason());
        if (chat) {
            choice.put("delta", new JsonObject());
        } else {
            choice.put("text", "");
        }
        return responseObject(chat ? "chat.completion.chunk" : "text_completion")
                .put("choices", new JsonArray().add(choice))
                .put("usage", usage(end));
    }

    /** Builds an answer that is not streamed. */
    JsonObject fullResponse(String text, StreamEnd end) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", end.reason());
        if (chat) {
            choice.put("message", new JsonObject().put("role", "assistant").put("content", text));
        } else {
            choice.put("text", text);
        }
        return responseObject(chat ? "chat.completion" : "text_completion")
                .put("choices", new JsonArray().add(choice))
                .put("usage", usage(end));
    }

    private JsonObject responseObject(String object) {
        return new JsonObject().put("id", request.value()).put("object", object).put("model", model.value());
    }

    private static JsonObject usage(StreamEnd end) {
        return new JsonObject()
                .put("prompt_tokens", end.promptTokens())
                .put("completion_tokens", end.completionTokens())
                .put("total_tokens", end.promptTokens() + end.completionTokens());
    }
}
