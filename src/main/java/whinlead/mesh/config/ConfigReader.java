package whinlead.mesh.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.stream.Collectors;

/** Parses a configuration's JSON. The result is complete, but its values are not validated yet. For any thread. */
public final class ConfigReader {
    private final ObjectMapper mapper = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .configure(JsonParser.Feature.ALLOW_COMMENTS, false)
            .build();

    /**
     * Parses a configuration.
     *
     * @throws InvalidConfigException if it can't be parsed completely, naming the place
     */
    public MeshConfig read(byte[] json) throws InvalidConfigException {
        try {
            MeshConfig meshConfig = mapper.readValue(json, MeshConfig.class);
            if (meshConfig == null) {
                throw new InvalidConfigException("the configuration is empty");
            }
            return meshConfig;
        } catch (JsonMappingException e) {
            throw new InvalidConfigException(
                    e.getPath().stream()
                                    .map(JsonMappingException.Reference::getFieldName)
                                    .collect(Collectors.joining("."))
                            + " can't be read",
                    e);
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException("the configuration can't be read whole", e);
        } catch (IOException e) {
            throw new InvalidConfigException("the configuration can't be read", e);
        }
    }
}
