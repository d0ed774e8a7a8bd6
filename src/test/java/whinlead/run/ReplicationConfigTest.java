package whinlead.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import whinlead.replication.ReplicatedState;

/** The operator's replication file: its meaning, and a one-line message for each error in it. */
class ReplicationConfigTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Test
    void exampleIsValid() {
        ReplicationConfig config = ReplicationConfig.read("deploy/copies.json", MAPPER);
        assertEquals("a", config.processName());
        assertEquals(
                new InetSocketAddress("127.0.0.2", 9301), config.processes().get("b"));
        assertEquals(new ReplicatedState.Limits(20_000, 1000, 10_000, 60_000), config.limits());
    }

    @Test
    void absentFieldsHaveDefaults() {
        ReplicationConfig config = ReplicationConfig.parse(
                "{'group':'g','name':'a','members':{'a':'127.0.0.1:1'}}".replace('\'', '"'), MAPPER);
        assertNull(config.diskFolder());
        assertEquals(new ReplicatedState.Limits(20_000, 1000, 10_000, 60_000), config.limits());
    }

    @Test
    void multipleGroupsHaveTheirOwnMembers() {
        ReplicationConfig config = ReplicationConfig.parse(
                "{'name':'a','replace_after_ms':9000,"
                        .concat(
                                "'groups':{'g':['a','b'],'h':['c']},'processes':{'a':'127.0.0.1:1','b':'127.0.0.1:2','c':'127.0.0.1:3'}}")
                        .replace('\'', '"'),
                MAPPER);
        assertEquals(Set.of("a", "b"), config.groups().get("g"));
        assertEquals(Set.of("a", "b"), config.peersInSharedGroups());
        assertEquals(9000, config.replaceAfterMs());
        assertTrue(config.hasMultipleGroups());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "{ | not JSON",
                "[] | object",
                "{'group':'g','name':'a'} | members",
                "{'group':'G!','name':'a','members':{'a':'127.0.0.1:1'}} | group",
                "{'group':'g','name':'b','members':{'a':'127.0.0.1:1'}} | lacks b",
                "{'group':'g','name':'a','members':{'a':'nowhere'}} | nowhere",
                "{'group':'g','name':'a','members':{'a':'127.0.0.1:1','b':'127.0.0.1:1'}} | twice",
                "{'group':'g','name':'a','members':{'a':'127.0.0.1:1'},'bounds':{'requests':0}} | requests",
                "{'group':'g','name':'a','members':{'a':'127.0.0.1:1'},'bounds':{'remember':1}} | remember",
                "{'name':'a','processes':{'a':'127.0.0.1:1'},'groups':{'g':['a','b']}} | lacks b of g",
                "{'name':'a','processes':{'a':'127.0.0.1:1'},'groups':{}} | groups",
                "{'name':'a','group':'g','processes':{'a':'127.0.0.1:1'},'groups':{'g':['a']}} | group",
                "{'name':'a','members':{'a':'127.0.0.1:1'},'groups':{'g':['a']}} | members",
                "{'group':'g','name':'a','members':{'a':'127.0.0.1:1'},'replace_after_ms':1} | replace_after_ms",
                "{'group':'g','name':'a','members':{'a':'127.0.0.1:1'},'disc':'x'} | disc"
            })
    void invalidFileGivesOneLineError(String json, String expected) {
        String message = assertThrows(
                        IllegalArgumentException.class, () -> ReplicationConfig.parse(json.replace('\'', '"'), MAPPER))
                .getMessage();
        assertTrue(message.contains(expected), message);
        assertFalse(message.contains("\n"), message);
    }
}
