package org.acaciaport.wire;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import com.fasterxml.jackson.databind.cfg.MutableCoercionConfig;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.type.LogicalType;
import org.acaciaport.config.Adjacency;
import org.acaciaport.config.Treatment;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.record.LogRecord;
import org.acaciaport.request.Outcome;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Object mappers for all records: JSON for callers, operators and the platform, MessagePack between the programs.
 *
 * <p>Record components are written in kebab case. Unknown, missing, repeated and wrongly typed fields are errors. The
 * mappers are thread-safe.
 */
public final class Codecs {
    private static final ObjectMapper JSON = configure(JsonMapper.builder(JsonFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build()))
            .build();

    /** Does not check for trailing tokens, since the MessagePack parser throws when the input ends. */
    private static final ObjectMapper MESSAGE_PACK = configure(new MessagePackMapperBuilder())
            .disable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private Codecs() {}

    /** Returns the mapper for JSON. */
    public static ObjectMapper json() {
        return JSON;
    }

    /** Returns the mapper for MessagePack. */
    public static ObjectMapper messagePack() {
        return MESSAGE_PACK;
    }

    /** Configures {@code builder} with the strictness, field names and subtype names common to all encodings. */
    public static <M extends ObjectMapper, B extends MapperBuilder<M, B>> B configure(B builder) {
        return builder.propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
                .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .withCoercionConfig(LogicalType.Textual, Codecs::rejectNonStrings)
                .addMixIn(Adjacency.class, AdjacencyNames.class)
                .addMixIn(Treatment.class, TreatmentNames.class)
                .addMixIn(Outcome.class, OutcomeNames.class)
                .addMixIn(LogRecord.class, LogRecordNames.class)
                .addMixIn(Append.Condition.class, ConditionNames.class)
                .addMixIn(AppendOutcome.class, AppendOutcomeNames.class)
                .addMixIn(ReadOutcome.class, ReadOutcomeNames.class)
                .addMixIn(NewestOutcome.class, NewestOutcomeNames.class);
    }

    private static void rejectNonStrings(MutableCoercionConfig coercions) {
        coercions
                .setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
                .setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
                .setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail);
    }

    private static final class MessagePackMapperBuilder extends MapperBuilder<ObjectMapper, MessagePackMapperBuilder> {
        MessagePackMapperBuilder() {
            super(new ObjectMapper(new MessagePackFactory()));
        }
    }

    private enum AdjacencyNames {
        @JsonProperty("same-target")
        SAME_TARGET,
        @JsonProperty("same-rack")
        SAME_RACK,
        @JsonProperty("same-data-centre")
        SAME_DATA_CENTRE
    }

    private enum TreatmentNames {
        @JsonProperty("checkpoint")
        CHECKPOINT,
        @JsonProperty("throttle")
        THROTTLE,
        @JsonProperty("stop")
        STOP
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Outcome.Done.class, name = "done"),
        @JsonSubTypes.Type(value = Outcome.Failed.class, name = "failed"),
        @JsonSubTypes.Type(value = Outcome.Cancelled.class, name = "cancelled"),
        @JsonSubTypes.Type(value = Outcome.NotRun.class, name = "not-run"),
        @JsonSubTypes.Type(value = Outcome.Unknown.class, name = "unknown")
    })
    private interface OutcomeNames {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "record")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = LogRecord.Published.class, name = "published"),
        @JsonSubTypes.Type(value = LogRecord.ServiceChanged.class, name = "service-changed"),
        @JsonSubTypes.Type(value = LogRecord.Led.class, name = "led"),
        @JsonSubTypes.Type(value = LogRecord.Resigned.class, name = "resigned"),
        @JsonSubTypes.Type(value = LogRecord.Accepted.class, name = "accepted"),
        @JsonSubTypes.Type(value = LogRecord.Intended.class, name = "intended"),
        @JsonSubTypes.Type(value = LogRecord.Voided.class, name = "voided"),
        @JsonSubTypes.Type(value = LogRecord.Finished.class, name = "finished"),
        @JsonSubTypes.Type(value = LogRecord.HandedOver.class, name = "handed-over")
    })
    private interface LogRecordNames {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "condition")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Append.Always.class, name = "always"),
        @JsonSubTypes.Type(value = Append.AtEnd.class, name = "at-end"),
        @JsonSubTypes.Type(value = Append.Writer.class, name = "writer")
    })
    private interface ConditionNames {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = AppendOutcome.Appended.class, name = "appended"),
        @JsonSubTypes.Type(value = AppendOutcome.NotAtEnd.class, name = "not-at-end"),
        @JsonSubTypes.Type(value = AppendOutcome.Deposed.class, name = "deposed"),
        @JsonSubTypes.Type(value = AppendOutcome.OutOfSequence.class, name = "out-of-sequence"),
        @JsonSubTypes.Type(value = AppendOutcome.Refused.class, name = "refused"),
        @JsonSubTypes.Type(value = AppendOutcome.Rejected.class, name = "rejected"),
        @JsonSubTypes.Type(value = AppendOutcome.Unknown.class, name = "unknown")
    })
    private interface AppendOutcomeNames {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = ReadOutcome.Records.class, name = "records"),
        @JsonSubTypes.Type(value = ReadOutcome.Expired.class, name = "expired"),
        @JsonSubTypes.Type(value = ReadOutcome.Unavailable.class, name = "unavailable")
    })
    private interface ReadOutcomeNames {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = NewestOutcome.Page.class, name = "page"),
        @JsonSubTypes.Type(value = NewestOutcome.Unavailable.class, name = "unavailable")
    })
    private interface NewestOutcomeNames {}
}
