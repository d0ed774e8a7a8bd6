package whinlead.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.UnknownHostException;
import org.junit.jupiter.api.Test;
import whinlead.admit.Client.Prefixes;

/** Which addresses count as one client. */
class ClientTest {
    private static final Prefixes USUAL = new Prefixes(32, 64);

    private static Client clientAt(String address, Prefixes prefixes) throws UnknownHostException {
        return Client.of(InetAddress.getByName(address).getAddress(), prefixes);
    }

    @Test
    void addressesWithDifferentPrefixesAreDifferentClients() throws UnknownHostException {
        assertNotEquals(clientAt("10.1.2.3", USUAL), clientAt("10.1.2.4", USUAL));
        assertEquals(clientAt("10.1.2.3", new Prefixes(24, 64)), clientAt("10.1.2.4", new Prefixes(24, 64)));
        assertNotEquals(clientAt("10.1.2.3", new Prefixes(24, 64)), clientAt("10.1.3.3", new Prefixes(24, 64)));
        assertEquals(clientAt("10.1.2.3", new Prefixes(0, 0)), clientAt("200.1.2.3", new Prefixes(0, 0)));
        assertEquals(clientAt("2001:db8::1", USUAL), clientAt("2001:db8::ffff:1", USUAL));
        assertNotEquals(clientAt("2001:db8::1", USUAL), clientAt("2001:db8:0:1::1", USUAL));
        assertNotEquals(clientAt("2001:db8::1", new Prefixes(32, 128)), clientAt("2001:db8::2", new Prefixes(32, 128)));
    }

    @Test
    void mappedIpv4AddressIsTheSameClient() throws UnknownHostException {
        byte[] mapped = new byte[16];
        mapped[10] = mapped[11] = (byte) 0xff;
        mapped[12] = 10;
        mapped[15] = 7;
        assertEquals(clientAt("10.0.0.7", USUAL), Client.of(mapped, USUAL));
    }

    @Test
    void malformedAddressesAndPrefixesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> Client.of(new byte[5], USUAL));
        assertThrows(IllegalArgumentException.class, () -> new Prefixes(33, 64));
        assertThrows(IllegalArgumentException.class, () -> new Prefixes(32, -1));
    }
}
