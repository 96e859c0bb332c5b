package org.acaciaport.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.io.IOException;
import java.util.stream.Collectors;

/** Puts errors of the JSON and TOML library into short words. */
public final class JsonErrors {
    private JsonErrors() {}

    /** Returns what is wrong and where. */
    public static String describe(IOException error) {
        return switch (error) {
            case UnrecognizedPropertyException e ->
                "unknown field '" + path(e) + "'; known are "
                        + e.getKnownPropertyIds().stream()
                                .map(Object::toString)
                                .sorted()
                                .collect(Collectors.joining(", "));
            case JsonMappingException e -> "field '" + path(e) + "': " + e.getOriginalMessage();
            case JsonProcessingException e -> "syntax at line " + line(e) + ": " + e.getOriginalMessage();
            default -> error.getMessage();
        };
    }

    /** Returns the dotted path to the field that {@code error} is about. */
    public static String path(JsonMappingException error) {
        return error.getPath().stream()
                .map(r -> r.getFieldName() == null ? Integer.toString(r.getIndex()) : r.getFieldName())
                .collect(Collectors.joining("."));
    }

    private static int line(JsonProcessingException error) {
        return error.getLocation() == null ? 0 : error.getLocation().getLineNr();
    }
}
