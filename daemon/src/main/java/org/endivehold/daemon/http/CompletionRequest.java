package org.endivehold.daemon.http;

import org.endivehold.misc.ModelName;

/**
 * A parsed body of {@code /v1/completions} or {@code /v1/chat/completions}.
 *
 * @param model the model
 * @param prompt the prompt as one text
 * @param promptBytes its length in UTF-8 bytes
 * @param maxTokens longest answer in tokens
 * @param stream whether the answer is streamed
 * @param chat whether the answer has the chat form
 */
record CompletionRequest(
        ModelName model, String prompt, long promptBytes, int maxTokens, boolean stream, boolean chat) {}
