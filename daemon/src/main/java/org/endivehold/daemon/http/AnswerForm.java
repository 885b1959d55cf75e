package org.endivehold.daemon.http;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.endivehold.misc.ModelName;
import org.endivehold.misc.RequestId;
import org.endivehold.upstream.StreamEnd;

/**
 * The JSON of answers in the OpenAI style.
 *
 * @param request the request
 * @param model the model as the caller named it
 * @param chat whether the answer has the chat form
 */
record AnswerForm(RequestId request, ModelName model, boolean chat) {
    /** One piece of a streamed answer. */
    JsonObject piece(String text) {
        JsonObject choice = new JsonObject().put("index", 0).putNull("finish_reason");
        if (chat) {
            choice.put("delta", new JsonObject().put("content", text));
        } else {
            choice.put("text", text);
        }
        return head(chat ? "chat.completion.chunk" : "text_completion").put("choices", new JsonArray().add(choice));
    }

    /** The last event of a streamed answer. */
    JsonObject last(StreamEnd end) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", end.reason());
        if (chat) {
            choice.put("delta", new JsonObject());
        } else {
            choice.put("text", "");
        }
        return head(chat ? "chat.completion.chunk" : "text_completion")
                .put("choices", new JsonArray().add(choice))
                .put("usage", usage(end));
    }

    /** A whole answer. */
    JsonObject whole(String text, StreamEnd end) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", end.reason());
        if (chat) {
            choice.put("message", new JsonObject().put("role", "assistant").put("content", text));
        } else {
            choice.put("text", text);
        }
        return head(chat ? "chat.completion" : "text_completion")
                .put("choices", new JsonArray().add(choice))
                .put("usage", usage(end));
    }

    private JsonObject head(String object) {
        return new JsonObject().put("id", request.value()).put("object", object).put("model", model.value());
    }

    private static JsonObject usage(StreamEnd end) {
        return new JsonObject()
                .put("prompt_tokens", end.promptTokens())
                .put("completion_tokens", end.completionTokens())
                .put("total_tokens", end.promptTokens() + end.completionTokens());
    }
}
