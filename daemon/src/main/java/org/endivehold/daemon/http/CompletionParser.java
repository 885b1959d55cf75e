package org.endivehold.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.ModelName;
import org.endivehold.misc.Names;

/** Parses the bodies of completion requests. Thread-safe. */
final class CompletionParser {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS_LIMIT = 131_072;

    private CompletionParser() {}

    /**
     * Parses a body.
     *
     * @param body the body, UTF-8 encoded JSON
     * @param chat whether it is the body of a chat completion request
     * @return the request
     * @throws EndiveholdException of type {@code BAD_ENCODING}, {@code BAD_JSON} or {@code BAD_REQUEST}
     */
    static CompletionRequest parse(byte[] body, boolean chat) throws EndiveholdException {
        JsonNode root = parseObject(body);
        String model = root.path("model").asText("");
        if (!Names.isValid(model)) {
            throw new EndiveholdException(ErrorType.BAD_REQUEST, "model must be a name");
        }
        String prompt = chat ? chatPrompt(root) : textPrompt(root);
        if (prompt.isEmpty()) {
            throw new EndiveholdException(ErrorType.BAD_REQUEST, "the prompt is empty");
        }
        long bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
        return new CompletionRequest(new ModelName(model), prompt, bytes, maxTokens(root, chat), stream(root), chat);
    }

    private static JsonNode parseObject(byte[] body) throws EndiveholdException {
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(body))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new EndiveholdException(ErrorType.BAD_ENCODING).causedBy(e);
        }
        try {
            JsonNode root = MAPPER.readTree(text);
            if (root == null || !root.isObject()) {
                throw new EndiveholdException(ErrorType.BAD_JSON, "not an object");
            }
            return root;
        } catch (JsonProcessingException e) {
            throw new EndiveholdException(ErrorType.BAD_JSON, position(e)).causedBy(e);
        }
    }

    private static String position(JsonProcessingException e) {
        return e.getLocation() == null
                ? "truncated"
                : "line " + e.getLocation().getLineNr() + " column "
                        + e.getLocation().getColumnNr();
    }

    private static String textPrompt(JsonNode root) throws EndiveholdException {
        JsonNode prompt = root.path("prompt");
        if (!prompt.isTextual()) {
            throw new EndiveholdException(ErrorType.BAD_REQUEST, "prompt must be text");
        }
        return prompt.textValue();
    }

    private static String chatPrompt(JsonNode root) throws EndiveholdException {
        JsonNode messages = root.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw new EndiveholdException(ErrorType.BAD_REQUEST, "messages must be a list that is not empty");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            JsonNode role = message.path("role");
            JsonNode content = message.path("content");
            if (!role.isTextual() || !content.isTextual()) {
                throw new EndiveholdException(
                        ErrorType.BAD_REQUEST, "each message needs a string role and a string content");
            }
            prompt.append(role.textValue())
                    .append(": ")
                    .append(content.textValue())
                    .append('\n');
        }
        return prompt.toString();
    }

    private static int maxTokens(JsonNode root, boolean chat) throws EndiveholdException {
        JsonNode value = root.path("max_tokens");
        if (chat && value.isMissingNode()) {
            value = root.path("max_completion_tokens");
        }
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.isIntegralNumber() || value.longValue() < 1 || value.longValue() > MAX_TOKENS_LIMIT) {
            throw new EndiveholdException(
                    ErrorType.BAD_REQUEST, "max_tokens must be between 1 and " + MAX_TOKENS_LIMIT);
        }
        return value.intValue();
    }

    private static boolean stream(JsonNode root) throws EndiveholdException {
        JsonNode value = root.path("stream");
        if (!value.isMissingNode() && !value.isNull() && !value.isBoolean()) {
            throw new EndiveholdException(ErrorType.BAD_REQUEST, "stream must be true or false");
        }
        return value.asBoolean(false);
    }
}
