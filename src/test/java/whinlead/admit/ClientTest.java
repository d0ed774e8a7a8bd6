package whinlead.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.UnknownHostException;
import org.junit.jupiter.api.Test;
import whinlead.admit.Client.Prefixes;

/** Which addresses are one client. */
class ClientTest {
    private static final Prefixes USUAL = new Prefixes(32, 64);

    private static Client at(String address, Prefixes prefixes) throws UnknownHostException {
        return Client.of(InetAddress.getByName(address).getAddress(), prefixes);
    }

    @Test
    void prefixesTellClientsApart() throws UnknownHostException {
        assertNotEquals(at("10.1.2.3", USUAL), at("10.1.2.4", USUAL));
        assertEquals(at("10.1.2.3", new Prefixes(24, 64)), at("10.1.2.4", new Prefixes(24, 64)));
        assertNotEquals(at("10.1.2.3", new Prefixes(24, 64)), at("10.1.3.3", new Prefixes(24, 64)));
        assertEquals(at("10.1.2.3", new Prefixes(0, 0)), at("200.1.2.3", new Prefixes(0, 0)));
        assertEquals(at("2001:db8::1", USUAL), at("2001:db8::ffff:1", USUAL));
        assertNotEquals(at("2001:db8::1", USUAL), at("2001:db8:0:1::1", USUAL));
        assertNotEquals(at("2001:db8::1", new Prefixes(32, 128)), at("2001:db8::2", new Prefixes(32, 128)));
    }

    @Test
    void anAddressOfOneFamilyIsTheSameInTheOthersForm() throws UnknownHostException {
        byte[] mapped = new byte[16];
        mapped[10] = mapped[11] = (byte) 0xff;
        mapped[12] = 10;
        mapped[15] = 7;
        assertEquals(at("10.0.0.7", USUAL), Client.of(mapped, USUAL));
    }

    @Test
    void whatIsNoAddressIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> Client.of(new byte[5], USUAL));
        assertThrows(IllegalArgumentException.class, () -> new Prefixes(33, 64));
        assertThrows(IllegalArgumentException.class, () -> new Prefixes(32, -1));
    }
}
