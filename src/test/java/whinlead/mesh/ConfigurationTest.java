package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import whinlead.mesh.config.ConfigReader;
import whinlead.mesh.config.ConfigValidator;
import whinlead.mesh.config.InvalidConfigException;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.settings.NodeSettingsException;
import whinlead.mesh.settings.NodeSettingsReader;
import whinlead.testbed.mesh.LocalMeshRun;
import whinlead.testbed.mesh.TestbedSettings;

/** Bad input gets a line that names the field; good input finds its route, service and tenant. */
public class ConfigurationTest {
    private static final ConfigValidator CHECK = new ConfigValidator();

    private static void take(String json) throws InvalidConfigException {
        CHECK.check(new ConfigReader().read(json.getBytes(StandardCharsets.UTF_8)));
    }

    /** What is changed of a good configuration, into what, and what the answer names. */
    @DataProvider
    public Object[][] bad() {
        String good = LocalMeshRun.config("00000001", "svc");
        return new Object[][] {
            {good, good.substring(0, good.length() - 30), "can't be read"},
            {"\"Target\":\"svc\"", "\"Target\":\"none\"", "Target"},
            {"\"Authority\":\"post.example\"", "\"Authority\":\"\"", "authority"},
            {"\"PathPrefix\":\"/b/\"", "\"PathPrefix\":\"/a/\"", "PathPrefix"},
            {"\"Kind\":\"mutating\"", "\"Kind\":\"odd\"", "kind"},
            {"\"TargetS\":0.5", "\"TargetS\":62", "TargetS"},
            {"\"DeadlineS\":2,", "\"DeadlineS\":\"soon\",", "DeadlineS"},
            {"\"Epoch\":\"00000001\"", "\"Epoch\":\"1\"", "epoch"},
            {"\"Tenants\":{", "\"Tenants\":{\"t-2\":{\"Credentials\":[\"key-1\"]},", "Credentials"},
        };
    }

    @Test(dataProvider = "bad")
    public void aBadConfigurationIsRefusedByItsField(String part, String instead, String named) {
        String json = LocalMeshRun.config("00000001", "svc").replace(part, instead);
        InvalidConfigException e = expectThrows(InvalidConfigException.class, () -> take(json));
        assertTrue(e.getMessage().contains(named), e.getMessage());
        assertTrue(e.getMessage().lines().count() == 1, e.getMessage());
    }

    private static String withServices(int count, String settings) {
        StringBuilder services = new StringBuilder("\"Services\":{");
        for (int i = 0; i < count; i++) {
            services.append("\"more-").append(i).append("\":").append(settings).append(',');
        }
        return LocalMeshRun.config("00000001", "svc").replace("\"Services\":{", services);
    }

    // A number of services that can't be served is refused by name and not taken in part.
    @Test
    public void manyServicesAreTakenAndTooManyPartitionedOnesAreRefused() throws InvalidConfigException {
        take(withServices(1900, "{}"));
        take(withServices(1024, "{\"Partitioned\":true}"));
        InvalidConfigException e =
                expectThrows(InvalidConfigException.class, () -> take(withServices(1025, "{\"Partitioned\":true}")));
        assertTrue(e.getMessage().contains("Services") && e.getMessage().contains("Partitioned"), e.getMessage());
    }

    @Test
    public void theLongestPrefixOfTheHostWins() throws InvalidConfigException {
        String json = LocalMeshRun.config("00000001", "svc").replace("\"/b/\"", "\"/a/b/\"");
        take(json);
        RoutingTable r = new RoutingTable(1, new ConfigReader().read(json.getBytes(StandardCharsets.UTF_8)));
        assertEquals(r.route("POST.example:80", "/a/b/c?q=/").name(), "r-2");
        assertEquals(r.route("post.example", "/a/bc").name(), "r-1");
        assertNull(r.route("post.example", "/ab/"));
        assertNull(r.route("other.example", "/a/"));
        assertNull(r.route(null, "/a/"));
        assertEquals(r.tenantOf("key-1").name(), "t-1");
        assertNull(r.tenantOf("key-2"));
    }

    @Test
    public void sharesAreDrawnByWeight() throws InvalidConfigException {
        String json = LocalMeshRun.config("00000001", "svc")
                .replace(
                        "\"Target\":\"svc\",\"Tries\":2,\"Public\":false},",
                        "\"Shares\":[{\"Target\":\"svc\",\"Weight\":90},{\"Target\":\"two\",\"Weight\":10}],"
                                + "\"Tries\":2,\"Public\":false},")
                .replace("\"Services\":{", "\"Services\":{\"two\":{},");
        take(json);
        RoutingTable.NamedRoute way = new RoutingTable(
                        1, new ConfigReader().read(json.getBytes(StandardCharsets.UTF_8)))
                .route("post.example", "/a/");
        assertEquals(way.service(0), "svc");
        assertEquals(way.service(0.899), "svc");
        assertEquals(way.service(0.901), "two");
        assertEquals(way.service(0.9999), "two");
    }

    /** A line of good settings, what stands in its place, and the field that is named. */
    @DataProvider
    public Object[][] badSettings() {
        return new Object[][] {
            {"Self.Ip=", "", "Self.Ip"},
            {"Network.PortRange=", "Network.PortRange=9,1", "Network.PortRange"},
            {"Network.PortRange=", "Network.PortRange=a,b", "portRange"},
            {"Substrate.HeartbeatS=", "Substrate.HeartbeatS=-1", "Substrate.HeartbeatS"},
            {"Clauses.Bounds.GraceS=", "", "Clauses.Bounds.GraceS"},
            {"Network.Seeds=", "", "Network.Seeds"},
            {"Self.Zone=", "no equals sign", "FIELD=VALUE"},
        };
    }

    @Test(dataProvider = "badSettings")
    public void badSettingsAreNamedByTheirField(String line, String instead, String named) throws Exception {
        List<String> lines = new TestbedSettings(1)
                .sidecar(0, "svc").stream()
                        .map(l -> l.startsWith(line) ? instead : l)
                        .toList();
        NodeSettingsException e = expectThrows(
                NodeSettingsException.class, () -> new NodeSettingsReader(new ObjectMapper()).parse(lines));
        assertTrue(e.getMessage().toLowerCase().contains(named.toLowerCase()), e.getMessage());
    }

    @Test
    public void fieldsThatAreNotKnownAreLeft() throws Exception {
        List<String> lines = new TestbedSettings(3).sidecar(0, "svc");
        lines.add("Self.Later.Added=1");
        lines.add("Clauses.Bounds.NewS=2");
        NodeSettings nodeSettings = new NodeSettingsReader(new ObjectMapper()).parse(lines);
        assertEquals(nodeSettings.network().seeds().size(), 3);
    }
}
