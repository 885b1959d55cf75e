package org.endivehold.daemon.http;

import org.endivehold.misc.ModelName;

/**
 * A parsed body of {@code /v1/completions} or {@code /v1/chat/completions}.
 *
 * @param model the model name
 * @param prompt the prompt; for chat, the messages joined to one text
 * @param promptBytes length of the prompt in UTF-8 bytes
 * @param maxTokens maximum length of the answer in tokens
 * @param stream whether the caller asked for a streamed answer
 * @param chat whether to answer in the chat completion format
 */
record CompletionRequest(
        ModelName model, String prompt, long promptBytes, int maxTokens, boolean stream, boolean chat) {}
